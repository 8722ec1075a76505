// Package mirror follows a read-only, revisioned key-value store and builds documents and a list
// of members from it. One revision counter covers the whole store, so the content at a revision is
// the same for every reader; documents carry that revision.
//
// The package determines the order of reads: list, then watch from that revision, and list again
// when the store has compacted its history or was restored from a backup. The Store, an adapter,
// decides how entries are encoded and what they mean.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// Kind is the kind of an Item.
type Kind uint8

// The kinds of an Item.
const (
	KindOther         Kind = 0 // ignored
	KindConfiguration Kind = 1
	KindInstance      Kind = 2
	KindEvacuation    Kind = 3
)

// Configuration is a complete configuration submitted by the operators.
type Configuration struct {
	// Origin holds the operators' own number for the configuration.
	Origin   snapshot.Origin
	Services []snapshot.Service
	Routes   []snapshot.TypedRoute
	Tenants  []snapshot.Tenant
	Limits   *snapshot.CallerLimits

	document *snapshot.Document // see Document
}

// Item is one entry read from the store.
type Item struct {
	Kind Kind
	// Key is unique in the store.
	Key string
	// Name is the name of the instance or zone, also when the entry was removed.
	Name string
	// Revision is the revision of the entry's last change, in the epoch in which it was read.
	Revision snapshot.Revision
	// Removed says that the entry was removed.
	Removed bool
	// Configuration, Instance or Evacuation is set according to Kind, unless Removed or Fault is set.
	Configuration *Configuration
	Instance      *snapshot.Instance
	Evacuation    *snapshot.Evacuation
	// Fault says why the entry cannot be used. An invalid configuration leaves the previous one in
	// place; an invalid instance entry counts as a removed instance.
	Fault error
	// UnknownValues lists the values of the entry that the adapter does not recognize and replaced by a
	// safe default.
	UnknownValues []UnknownValue
}

// UnknownValue is an unrecognized value of a field of an entry.
type UnknownValue struct{ Field, Value string }

// Page is a part of the store's content. Pages are not a consistent snapshot: each one shows the
// store at its own revision At.
type Page struct {
	Items []Item
	// Next is the key to continue after; empty on the last page.
	Next string
	At   snapshot.Revision
}

// Events are the changes after a revision, in order.
type Events struct {
	Items []Item
	// At is the revision to continue from.
	At snapshot.Revision
	// Compacted says that the store no longer has the history needed, so that it has to be listed
	// again. Only the epoch of At is valid then.
	Compacted bool
}

// Scope selects the entries that a watch covers.
type Scope uint8

// The scopes of a watch.
const (
	ScopeAll         Scope = 0
	ScopeInstances   Scope = 1
	ScopeEvacuations Scope = 2
)

// Store reads the key-value store.
type Store interface {
	// List reads one page of all entries, starting after the key.
	List(ctx context.Context, after string) (Page, source.Outcome)
	// Sample reads one page of the instances, starting after the key. It may be seconds old and costs
	// the store little.
	Sample(ctx context.Context, after string) (Page, source.Outcome)
	// Watch returns once there are changes in the scope after the revision, or when the wait is
	// over. A response of another epoch than the revision's does not continue from it. A response
	// larger than the limit in bytes is abandoned with StatusBacklog.
	Watch(ctx context.Context, scope Scope, after snapshot.Revision, wait time.Duration, limit int64) (Events, source.Outcome)
}

// Options configure a Mirror.
type Options struct {
	Store  Store
	Logger logrus.FieldLogger
	// MemberOf returns the member that is the sidecar of an instance; false if there is none.
	MemberOf func(instance snapshot.Instance) (membership.ListedMember, bool)
	// Validate reports why a configuration cannot be put in force; nil accepts all. A rejected
	// configuration changes nothing, and instances are still followed.
	Validate func(configuration *Configuration) error
	// Timeout is how long a response may take to begin, not counting the wait of a watch, and how
	// long it may pause between bytes.
	Timeout time.Duration
	// DisableRecoveryGrace treats entries whose lease expired during a store outage as removed at once.
	DisableRecoveryGrace bool
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

// Mirror holds the state that was read last. It is safe for concurrent use; one watch of all
// entries runs at a time.
type Mirror struct {
	options    Options
	unknown    *unknownValueReporter
	faults     *invalidEntryReporter
	concurrent *concurrentWatcher
	// restores counts how often the store was found restored from a backup.
	restores  prometheus.Counter
	onChanges func(changes []snapshot.Change) // nil: changes are not published
	inForce   func() (snapshot.Content, bool) // nil: not known

	reading chan struct{} // holds a token while the store is read
	// needsList is set after a watch whose response broke off or would have been a backlog;
	// listBytes is the size of the last list. Both are guarded by reading.
	needsList bool
	listBytes int64

	// samples is where the next sample of the instances starts.
	samples sampleCursor

	mutex sync.Mutex // guards the fields below
	// state is what was read. published is the state that documents and members are built from; it
	// is older than state while the removal of instances is withheld.
	state     state
	published state
	recovery  outageRecovery
	reads     readLog
	document  *snapshot.Document // built from the published state, nil until requested
	readAt    time.Time
	changed   chan struct{} // closed and replaced at each change
}

var (
	_ source.ConfigurationReader = (*Mirror)(nil)
	_ source.MemberReader        = (*Mirror)(nil)
	_ source.MemberSampler       = (*Mirror)(nil)
)

// New returns an empty Mirror, or an error if its metrics cannot be registered.
func New(options Options) (*Mirror, error) {
	if options.Validate == nil {
		options.Validate = func(*Configuration) error { return nil }
	}
	unknown, err := newUnknownValueReporter(options.Registerer, options.Logger)
	if err != nil {
		return nil, err
	}
	faults, err := newInvalidEntryReporter(options.Registerer, options.Logger)
	if err != nil {
		return nil, err
	}
	restores := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "winchhead_store_restores_total",
		Help: "Times that this node found the store restored from a copy.",
	})
	if options.Registerer != nil {
		if err := options.Registerer.Register(restores); err != nil {
			return nil, eris.Wrap(err, "register the metrics of the store")
		}
	}
	created := &Mirror{
		options: options, unknown: unknown, faults: faults, restores: restores,
		reading: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	created.concurrent = newConcurrentWatcher(created)
	return created, nil
}

// OnChanges sets the callback for changes of instances and evacuations; it must be called before
// the first read. The callback gets changes as they are read, ahead of the document that contains
// them, except new ready instances, and removals that are withheld after a store outage. It may
// block, and is called from several goroutines.
func (m *Mirror) OnChanges(onChanges func(changes []snapshot.Change)) { m.onChanges = onChanges }

// AwaitRevision returns once the store has changed after the revision, the wait is over or the
// context ends.
func (m *Mirror) AwaitRevision(ctx context.Context, after snapshot.Revision, wait time.Duration) (snapshot.Version, source.Outcome) {
	if !m.acquireReading(ctx) {
		return snapshot.Version{}, source.Outcome{Status: source.StatusUnreachable, Err: ctx.Err()}
	}
	defer m.releaseReading()
	if outcome := m.catchUp(ctx, after, wait); !succeeded(outcome) {
		return snapshot.Version{}, outcome
	}
	if !m.isComplete() {
		return snapshot.Version{}, source.Outcome{Status: source.StatusNotModified}
	}
	document, err := m.currentDocument()
	if err != nil {
		return snapshot.Version{}, source.Outcome{Status: source.StatusInvalid, Err: err}
	}
	status := source.StatusNotModified
	if document.Version().Revision > after {
		status = source.StatusFresh
	}
	return document.Version(), source.Outcome{Status: status}
}

// Fetch returns the document of the state that was read last. It reads the store only if nothing
// has been read yet.
func (m *Mirror) Fetch(ctx context.Context, held snapshot.Version) (*snapshot.Document, source.Outcome) {
	if m.isEmpty() {
		if outcome := m.listOnce(ctx); !succeeded(outcome) {
			return nil, outcome
		}
	}
	document, err := m.currentDocument()
	if err != nil {
		return nil, source.Outcome{Status: source.StatusInvalid, Err: err}
	}
	if document.Version() == held {
		return nil, source.Outcome{Status: source.StatusNotModified}
	}
	return document, source.Outcome{Status: source.StatusFresh}
}

// staleAfter is the age of the last read from which a call of Members without a wait reads the
// store again.
const staleAfter = 3 * time.Second

// Members returns the sidecars of the listed instances. With a wait it relies on the reads of
// AwaitRevision and does not read the store itself.
func (m *Mirror) Members(ctx context.Context, etag string, wait time.Duration) (source.MemberList, source.Outcome) {
	if wait <= 0 && m.age() > staleAfter {
		if outcome := m.listOnce(ctx); !succeeded(outcome) {
			return source.MemberList{}, outcome
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		list, changed := m.members()
		if list.ETag != etag {
			return list, source.Outcome{Status: source.StatusFresh}
		}
		unchanged := source.MemberList{Revision: list.Revision, ETag: etag}
		if wait <= 0 {
			return unchanged, source.Outcome{Status: source.StatusNotModified}
		}
		select {
		case <-changed:
		case <-timer.C:
			return unchanged, source.Outcome{Status: source.StatusNotModified}
		case <-ctx.Done():
			return unchanged, source.Outcome{Status: source.StatusUnreachable, Err: ctx.Err()}
		}
	}
}

// notify wakes the waiting callers. The caller holds the mutex.
func (m *Mirror) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) isEmpty() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.empty()
}

// isComplete reports whether there is a configuration to build a document from.
func (m *Mirror) isComplete() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.published.configuration != nil
}

func (m *Mirror) revision() snapshot.Revision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.revision
}

func (m *Mirror) documentRevision() snapshot.Revision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.published.documentRevision
}

func (m *Mirror) age() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return clock.Since(m.readAt)
}

// currentDocument returns the document of the published state, built at most once per change.
func (m *Mirror) currentDocument() (*snapshot.Document, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.document != nil {
		return m.document, nil
	}
	document, err := m.published.document()
	if err != nil {
		return nil, err
	}
	m.document = document
	return document, nil
}

func (m *Mirror) members() (list source.MemberList, changed <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	list.Members = m.published.members(m.options.MemberOf)
	list.Revision, list.ETag = uint64(m.published.documentRevision), etagOf(list.Members)
	return list, m.changed
}

// succeeded reports whether a read returned a response.
func succeeded(outcome source.Outcome) bool {
	return outcome.Status == source.StatusFresh || outcome.Status == source.StatusNotModified
}
