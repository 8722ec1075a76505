// Package platform emulates the platform that winchhead reads: the configuration
// service, with a write API for operators, and the membership list, which can lag
// behind the membership. It serves the protocol published in package source, counts
// and limits its readers, and causes faults on demand. It checks neither policy
// programs nor references between resources: the product has to refuse bad ones.
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

// Options configures a Platform. With the zero value the configuration and the
// membership list are empty, and there is no lag and no limit of readers.
type Options struct {
	// Content is the first configuration. A zero Revision stands for 1.
	Content snapshot.Content
	// Members is the initial membership, which is listed at once.
	Members []membership.ListedMember
	// MemberLag is the time until a change of the membership is listed.
	MemberLag time.Duration
	// MaxReaders is how many distinct clients may read the configuration at one
	// time; others are answered 429. Zero means no limit.
	MaxReaders int
	// ReaderWindow is how long a client counts as a reader after its last read;
	// zero means DefaultReaderWindow.
	ReaderWindow time.Duration
	// RetryAfter is sent with 429 and 503, rounded up to whole seconds; zero means
	// DefaultRetryAfter.
	RetryAfter time.Duration
}

// Platform is an emulated platform. It is safe for concurrent use.
type Platform struct {
	options Options
	readers *readerLimiter
	bytes   socketbytes.Counter
	counts  counts

	mutex   sync.Mutex
	changed chan struct{} // closed and replaced when a field below changes
	history []*publication
	members memberList
	faults  faultTable
}

// New returns a platform that has published options.Content as its first revision.
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
		readers: newReaderLimiter(options.MaxReaders, options.ReaderWindow),
		changed: make(chan struct{}),
		history: []*publication{first},
		members: memberList{real: options.Members, listed: options.Members},
		faults:  faultTable{},
	}, nil
}

// Version returns the latest published version, whatever the faults make it serve.
func (p *Platform) Version() snapshot.Version {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.latest().version
}

// Content returns the latest published content. The caller must not change the
// elements of its slices.
func (p *Platform) Content() snapshot.Content {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.latest().content
}

// Change publishes one new revision with all the changes that edit makes, and
// returns the new version. If edit fails or the result is not a valid document (for
// example because of a duplicate name), it returns an error and publishes nothing.
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

// SetContent publishes the content as a new revision; content.Revision is ignored.
func (p *Platform) SetContent(content snapshot.Content) (snapshot.Version, error) {
	return p.Change(func(next *snapshot.Content) error {
		*next = content
		return nil
	})
}

// Submit publishes a new policy. It returns ErrExists if a policy of that name
// exists.
func (p *Platform) Submit(policy snapshot.Policy) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		if slices.ContainsFunc(content.Policies, hasName(policyName, policy.Name)) {
			return eris.Wrapf(ErrExists, "policy %q", policy.Name)
		}
		content.Policies = append(content.Policies, policy)
		return nil
	})
}

// Revise publishes another program of a policy. It returns ErrNotFound if no policy
// has that name.
func (p *Platform) Revise(policy snapshot.Policy) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		at := slices.IndexFunc(content.Policies, hasName(policyName, policy.Name))
		if at < 0 {
			return eris.Wrapf(ErrNotFound, "policy %q", policy.Name)
		}
		content.Policies[at] = policy
		return nil
	})
}

// Withdraw publishes a revision without the policy. It returns ErrNotFound if no policy
// has that name.
func (p *Platform) Withdraw(name string) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		return remove(&content.Policies, policyName, name)
	})
}

// PutService publishes a new service, or replaces the one of the same name.
func (p *Platform) PutService(service snapshot.Service) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		upsert(&content.Services, serviceName, service)
		return nil
	})
}

// DeleteService publishes a revision without the service. It returns ErrNotFound if no
// service has that name.
func (p *Platform) DeleteService(name string) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		return remove(&content.Services, serviceName, name)
	})
}

// PutSecret publishes a new secret, or replaces the one of the same name.
func (p *Platform) PutSecret(secret snapshot.Secret) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		upsert(&content.Secrets, secretName, secret)
		return nil
	})
}

// DeleteSecret publishes a revision without the secret. It returns ErrNotFound if no
// secret has that name.
func (p *Platform) DeleteSecret(name string) (snapshot.Version, error) {
	return p.Change(func(content *snapshot.Content) error {
		return remove(&content.Secrets, secretName, name)
	})
}

// latest returns the newest publication; the mutex is held.
func (p *Platform) latest() *publication { return p.history[len(p.history)-1] }

// broadcast wakes all held reads; the mutex is held.
func (p *Platform) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}
