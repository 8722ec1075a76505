// Package inbound implements the sidecar's proxy in front of a backend instance. It
// alone sends requests to the instance, so that its counts of slots and connections
// are exact: a request that it refuses as not run never reached the instance. It
// enforces deadlines, remembers Idempotency-Keys and publishes whether the instance
// takes requests.
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
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// SnapshotSource provides the configuration in force.
type SnapshotSource interface {
	// Current returns nil until the node holds a configuration.
	Current() *snapshot.Snapshot
}

// StatePublisher publishes to the fleet whether this instance takes requests.
type StatePublisher interface {
	// SetState must return quickly and must not call the proxy.
	SetState(state membership.State)
}

// Options configure a Proxy.
type Options struct {
	Snapshots SnapshotSource
	// Self identifies the process that requests must be addressed to.
	Self membership.Record
	// Incarnation returns the incarnation under which the fleet knows the process,
	// which may be above Self's; nil means Self's.
	Incarnation func() membership.Incarnation
	Publisher   StatePublisher
	Settings    settings.Inbound
	Logger      logrus.FieldLogger
	Registerer  prometheus.Registerer
	// Memory remembers Idempotency-Keys; nil means a memory in this process only.
	Memory idempotency.Memory
}

// Proxy forwards requests of other nodes to the backend. It is safe for concurrent
// use. Call Run while its server runs; stop it with Drain, then Close.
type Proxy struct {
	snapshots SnapshotSource
	settings  settings.Inbound
	self      membership.Record
	// incarnation is Options.Incarnation, never nil.
	incarnation func() membership.Incarnation
	logger      logrus.FieldLogger
	metrics     *metrics
	admission   *admission.Controller
	memory      idempotency.Memory
	backend     *backendClient
	readiness   *readinessPublisher
	pauses      pauseDetector
	activity    forward.Activity
	stopping    atomic.Bool // the drain is published
	refusing    atomic.Bool // draining: requests are refused

	limitsMu sync.Mutex // serializes applying the limits of a snapshot
	limits   atomic.Pointer[serviceLimits]

	base   context.Context // cancelled by Close
	cancel context.CancelFunc
}

// New returns a Proxy, or an error if an option is missing or the metrics cannot be
// registered.
func New(options Options) (*Proxy, error) {
	if options.Snapshots == nil || options.Publisher == nil {
		return nil, eris.New("inbound proxy: a snapshot source and a state publisher are required")
	}
	if options.Settings.Backend == "" {
		return nil, eris.New("inbound proxy: the address of the backend is required")
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
		proxy.memory = idempotency.NewLocal(idempotency.DefaultLimits(options.Settings.IdempotencyKeyRetention))
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

// ServeHTTP forwards one request to the backend. It panics with http.ErrAbortHandler
// to cut a response that broke off on its way here.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.activity.Begin()
	defer p.activity.End()
	body := newRequestBody(w, r)
	defer body.finish(w)
	admitted, problem := p.admit(w, r, body)
	if problem != nil {
		p.finishResponse(w, body, endedWithProblem(*problem))
		return
	}
	defer admitted.end()
	p.finishResponse(w, body, admitted.run())
}

// Close cuts all requests and sessions and waits until they have ended.
func (p *Proxy) Close() {
	p.refusing.Store(true)
	p.cancel()
	_ = p.activity.WaitIdle(context.Background())
	p.backend.close()
}
