// Package platform emulates the platform that winchhead reads: the configuration
// service, with a write side that only operators use, and the lagging membership
// list. It counts and limits its readers and fails on demand. It serves the
// protocol published in package source. It checks neither policy programs nor
// references between resources, as refusing bad ones is the product's job.
package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/socketbytes"
)

// Defaults of Options.
const (
	DefaultReaderWindow = 5 * time.Second
	DefaultRetryAfter   = time.Second
)

// Options sets up a Platform. The zero value is a platform with an empty
// configuration, an empty list without lag and no limit of readers.
type Options struct {
	// Content is the first document. A zero Revision stands for 1.
	Content snapshot.Content
	// Members is the first membership list, visible at once.
	Members []membership.ListedMember
	// MemberLag is how long a change of the members takes to show in the list.
	MemberLag time.Duration
	// MaxReaders is how many distinct clients may read the configuration at one
	// time; others are answered with 429. Zero sets no limit.
	MaxReaders int
	// ReaderWindow is how long after its last read a client counts as a reader;
	// zero takes DefaultReaderWindow.
	ReaderWindow time.Duration
	// RetryAfter is sent with 429 and 503, in whole seconds; zero takes
	// DefaultRetryAfter.
	RetryAfter time.Duration
}

// Platform is an emulated platform. It is safe for concurrent use.
type Platform struct {
	options Options
	readers *readerCensus
	bytes   socketbytes.Counter
	counts  counts

	mutex   sync.Mutex
	changed chan struct{} // closed and replaced at each change of what is below
	history []*publication
	members memberList
	faults  faultTable
}

// New returns a platform that has published its first revision.
func New(options Options) (*Platform, error) {
	if options.ReaderWindow <= 0 {
		options.ReaderWindow = DefaultReaderWindow
	}
	if options.RetryAfter <= 0 {
		options.RetryAfter = DefaultRetryAfter
	}
	options.Content.Revision = max(options.Content.Revision, 1)
	first, err := newPublication(options.Content)
	if err != nil {
		return nil, err
	}
	return &Platform{
		options: options,
		readers: newReaderCensus(options.MaxReaders, options.ReaderWindow),
		changed: make(chan struct{}),
		history: []*publication{first},
		members: memberList{real: options.Members, listed: options.Members},
		faults:  faultTable{},
	}, nil
}

// Version returns the version that the platform holds now, whatever it serves.
func (p *Platform) Version() snapshot.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.latest().version
}

// Content returns the content that the platform holds now. The caller must not
// change what the slices hold.
func (p *Platform) Content() snapshot.Content {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.latest().content
}

// Change publishes one new revision with all that edit changes. It returns the
// new version, or an error and no change when edit fails or the result is not a
// document (such as one with a duplicate name).
func (p *Platform) Change(edit func(content *snapshot.Content) error) (snapshot.Version, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest := p.latest().content
	next := snapshot.Content{
		Revision: latest.Revision + 1,
		Services: slices.Clone(latest.Services),
		Policies: slices.Clone(latest.Policies),
		Secrets:  slices.Clone(latest.Secrets),
	}
	if err := edit(&next); err != nil {
		return snapshot.Version{}, err
	}
	next.Revision = latest.Revision + 1
	published, err := newPublication(next)
	if err != nil {
		return snapshot.Version{}, err
	}
	p.history = append(p.history, published)
	p.broadcast()
	return published.version, nil
}

// SetContent publishes the content as one new revision; its Revision is ignored.
func (p *Platform) SetContent(content snapshot.Content) (snapshot.Version, error) {
	return p.Change(func(next *snapshot.Content) error {
		*next = content
		return nil
	})
}

// Submit publishes a new policy. It fails with ErrExists if there is one of its
// name.
func (p *Platform) Submit(policy snapshot.Policy) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		if slices.ContainsFunc(content.Policies, named(policyName, policy.Name)) {
			return eris.Wrapf(ErrExists, "policy %q", policy.Name)
		}
		content.Policies = append(content.Policies, policy)
		return nil
	})
}

// Revise publishes another program of a policy. It fails with ErrAbsent if there
// is none of its name.
func (p *Platform) Revise(policy snapshot.Policy) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		at := slices.IndexFunc(content.Policies, named(policyName, policy.Name))
		if at < 0 {
			return eris.Wrapf(ErrAbsent, "policy %q", policy.Name)
		}
		content.Policies[at] = policy
		return nil
	})
}

// Withdraw publishes a revision without the policy. It fails with ErrAbsent if
// there is none of that name.
func (p *Platform) Withdraw(name string) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		return remove(&content.Policies, policyName, name)
	})
}

// PutService publishes a new service or another state of one.
func (p *Platform) PutService(service snapshot.Service) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		put(&content.Services, serviceName, service)
		return nil
	})
}

// DeleteService publishes a revision without the service. It fails with
// ErrAbsent if there is none of that name.
func (p *Platform) DeleteService(name string) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		return remove(&content.Services, serviceName, name)
	})
}

// PutSecret publishes a new secret or another value of one.
func (p *Platform) PutSecret(secret snapshot.Secret) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		put(&content.Secrets, secretName, secret)
		return nil
	})
}

// DeleteSecret publishes a revision without the secret. It fails with ErrAbsent
// if there is none of that name.
func (p *Platform) DeleteSecret(name string) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		return remove(&content.Secrets, secretName, name)
	})
}

// latest returns the newest publication; the mutex is held.
func (p *Platform) latest() *publication { return p.history[len(p.history)-1] }

// broadcast wakes all waiting reads; the mutex is held.
func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}
