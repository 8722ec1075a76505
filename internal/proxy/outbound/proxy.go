// Package outbound is the proxy that callers use: it finds the route of a request in
// the current snapshot, picks an instance, sends the request to the inbound proxy in
// the sidecar of the instance and forwards the response. It retries a request only
// if it cannot have run yet, or if the route allows it to run more than once.
package outbound

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/winchhead/winchhead/internal/httpmessage"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/retry"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// SnapshotSource provides the current configuration.
type SnapshotSource interface {
	// Current returns nil until the node has a version of the configuration.
	Current() *snapshot.Snapshot
}

// FleetSource provides the node's view of the instances.
type FleetSource interface {
	// View returns nil until there is a view.
	View() *membership.View
}

// Options configures a Proxy.
type Options struct {
	Snapshots SnapshotSource
	Fleet     FleetSource
	// Self contains the region and zone of this node.
	Self membership.Record
	// TLS configures the connections to inbound proxies; nil means no TLS.
	TLS        *tls.Config
	Settings   settings.Outbound
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Proxy handles the requests of callers. It is safe for concurrent use. Stop it with
// Drain, then Close.
type Proxy struct {
	snapshots SnapshotSource
	fleet     FleetSource
	settings  settings.Outbound
	logger    logrus.FieldLogger
	metrics   *metrics
	balancer  *balance.Balancer
	transport *httpmessage.Transport
	keys      *keyCache
	budgets   budgets
	activity  activity
	draining  atomic.Bool

	base   context.Context // cancelled by Close
	cancel context.CancelFunc
	server *http.Server
}

// New returns a Proxy, or an error when an option is missing or the metrics
// cannot be registered.
func New(options Options) (*Proxy, error) {
	if options.Snapshots == nil || options.Fleet == nil {
		return nil, eris.New("outbound proxy: the options Snapshots and Fleet are required")
	}
	registered, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	base, cancel := context.WithCancel(context.Background())
	proxy := &Proxy{
		snapshots: options.Snapshots,
		fleet:     options.Fleet,
		settings:  options.Settings,
		logger:    options.Logger,
		metrics:   registered,
		balancer: balance.New(balance.Options{
			Mode:   balance.Mode(options.Settings.Balance),
			Region: options.Self.Region,
			Zone:   options.Self.Zone,
			Source: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		}),
		transport: newTransport(options.TLS),
		keys:      newKeyCache(),
		budgets:   budgets{ratio: options.Settings.RetryRatio},
		base:      base,
		cancel:    cancel,
	}
	proxy.server = proxy.newServer()
	return proxy, nil
}

// ServeHTTP proxies one request. It panics with http.ErrAbortHandler if the response
// of the instance broke off, so that the caller's response breaks off too.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	p.activity.begin(started)
	defer p.activity.End()
	if p.draining.Load() {
		w.Header().Set(forward.HeaderConnection, "close")
	}
	ended := truncated
	defer func() { p.metrics.observe(ended, time.Since(started)) }()

	exchange, problem := p.admit(w, r, started)
	if problem != nil {
		ended = completionOf(*problem)
		forward.DiscardUnreadBody(w, r)
		problem.Write(w)
		return
	}
	defer exchange.end()
	ended = exchange.run()
	if ended.mustAbort() {
		exchange.abort()
	}
}

// budgets contains the retry budget of each service.
type budgets struct {
	ratio    float64
	services sync.Map // service name to *retry.Budget
}

func (b *budgets) forService(service string) *retry.Budget {
	if found, ok := b.services.Load(service); ok {
		return found.(*retry.Budget)
	}
	found, _ := b.services.LoadOrStore(service, retry.NewBudget(b.ratio))
	return found.(*retry.Budget)
}

// completion is how a request ended, as in the labels of the metrics.
type completion struct {
	outcome string
	reason  outcome.Reason
}

const reasonNone outcome.Reason = "none"

var (
	answered   = completion{"answered", reasonNone}
	truncated  = completion{"cut", reasonNone}
	timedOut   = completion{"cut", outcome.ReasonDeadline}
	callerGone = completion{"caller-gone", reasonNone}
)

func completionOf(problem outcome.Problem) completion {
	return completion{string(problem.Outcome), problem.Reason}
}

// mustAbort reports whether the caller's connection must be aborted.
func (e completion) mustAbort() bool { return e == truncated || e == timedOut || e == callerGone }
