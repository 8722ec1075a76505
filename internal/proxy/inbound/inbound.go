// Package inbound is the proxy beside a back end. It alone sends requests to the
// back end, so its count of slots and connections is exact: what it refuses as
// not run never reached the back end. It checks deadlines, remembers
// Idempotency-Keys and publishes whether the back end takes work.
package inbound

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/repeat"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// SnapshotSource gives the configuration in force.
type SnapshotSource interface {
	// Current returns nil until the node holds a version.
	Current() *snapshot.Snapshot
}

// StatePublisher tells the fleet whether this instance takes work.
type StatePublisher interface {
	// SetState must return soon and must not call the proxy.
	SetState(state membership.State)
}

// Options are what a Proxy is made from.
type Options struct {
	Snapshots SnapshotSource
	// Self names the process that requests must be meant for.
	Self membership.Record
	// Incarnation tells under which incarnation the fleet knows the process, which
	// may be above Self's; nil takes Self's.
	Incarnation func() membership.Incarnation
	Publisher   StatePublisher
	Settings    settings.Inbound
	Logger      logrus.FieldLogger
	Registerer  prometheus.Registerer
	// Memory remembers Idempotency-Keys; nil takes one in this process.
	Memory repeat.Memory
}

// Proxy takes requests of other nodes for the back end. It is safe for concurrent
// use. Run it beside its server; end it with Drain, then Close.
type Proxy struct {
	snapshots SnapshotSource
	settings  settings.Inbound
	self      membership.Record
	// incarnation is Options.Incarnation, never nil.
	incarnation func() membership.Incarnation
	logger      logrus.FieldLogger
	metrics     *metrics
	admission   *admission.Controller
	memory      repeat.Memory
	backend     *backendClient
	readiness   *readinessPublisher
	pauses      pauseDetector
	activity    forward.Activity
	stopping    atomic.Bool // planned stop announced
	refusing    atomic.Bool // planned stop: no new work

	configured sync.Mutex // guards the application of a snapshot's limits
	limits     atomic.Pointer[serviceLimits]

	base   context.Context // ends with Close
	cancel context.CancelFunc
}

// New returns a Proxy, or an error when an option is missing or the metrics
// cannot be registered.
func New(options Options) (*Proxy, error) {
	if options.Snapshots == nil || options.Publisher == nil {
		return nil, eris.New("inbound proxy: needs a source of snapshots and a publisher")
	}
	if options.Settings.Backend == "" {
		return nil, eris.New("inbound proxy: needs the address of the back end")
	}
	if options.Incarnation == nil {
		options.Incarnation = func() membership.Incarnation { return options.Self.Incarnation }
	}
	base, cancel := context.WithCancel(context.Background())
	proxy := &Proxy{
		snapshots:   options.Snapshots,
		settings:    options.Settings,
		self:        options.Self,
		incarnation: options.Incarnation,
		logger:      options.Logger,
		memory:      options.Memory,
		backend:     newBackendClient(options.Settings.Backend, options.Settings.Connections),
		base:        base,
		cancel:      cancel,
	}
	if proxy.memory == nil {
		proxy.memory = repeat.NewLocal(repeat.DefaultLimits(options.Settings.RepeatMemory))
	}
	proxy.admission = admission.NewController(proxy.admissionLimits(snapshot.Service{}))
	proxy.readiness = newReadinessPublisher(options.Publisher, options.Logger, proxy.reportsHealth())
	var err error
	if proxy.metrics, err = newMetrics(options.Registerer, proxy); err != nil {
		cancel()
		return nil, err
	}
	return proxy, nil
}

// ServeHTTP takes one request to the back end. It panics with
// http.ErrAbortHandler to cut an answer that was cut on its way here.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.activity.Begin()
	defer p.activity.End()
	body := takeBody(w, r)
	defer body.finish(w)
	admitted, problem := p.admit(w, r, body)
	if problem != nil {
		p.conclude(w, body, failure(*problem))
		return
	}
	defer admitted.end()
	p.conclude(w, body, admitted.run())
}

// Close cuts all requests and sessions and waits until they have ended.
func (p *Proxy) Close() {
	p.refusing.Store(true)
	p.cancel()
	_ = p.activity.WaitIdle(context.Background())
	p.backend.close()
}
