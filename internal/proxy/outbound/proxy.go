// Package outbound is the proxy that callers use: it finds the route of a
// request in the snapshot in force, picks an instance, sends the request to the
// inbound proxy beside it and passes the answer on. It sends a request again
// only when that cannot make it run twice, or when the route allows that.
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
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/retry"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// SnapshotSource gives the configuration in force.
type SnapshotSource interface {
	// Current returns nil until the node holds a version.
	Current() *snapshot.Snapshot
}

// FleetSource gives the node's picture of the other instances.
type FleetSource interface {
	// View returns nil until there is one.
	View() *membership.View
}

// Options are what a Proxy is made from.
type Options struct {
	Snapshots SnapshotSource
	Fleet     FleetSource
	// Self tells the region and zone of this node.
	Self membership.Record
	// TLS secures the connections to inbound proxies; nil leaves them plain.
	TLS        *tls.Config
	Settings   settings.Outbound
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Proxy takes the requests of callers. It is safe for concurrent use. End it
// with Drain, then Close.
type Proxy struct {
	snapshots SnapshotSource
	fleet     FleetSource
	settings  settings.Outbound
	logger    logrus.FieldLogger
	metrics   *metrics
	balancer  *balance.Balancer
	transport *http.Transport
	keys      *keyMemory
	budgets   budgets
	activity  activity
	draining  atomic.Bool

	base   context.Context // ends with Close
	cancel context.CancelFunc
	server *http.Server
}

// New returns a Proxy, or an error when an option is missing or the metrics
// cannot be registered.
func New(options Options) (*Proxy, error) {
	if options.Snapshots == nil || options.Fleet == nil {
		return nil, eris.New("outbound proxy: needs a source of snapshots and one of the fleet")
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
		keys:      newKeyMemory(),
		budgets:   budgets{ratio: options.Settings.RetryRatio},
		base:      base,
		cancel:    cancel,
	}
	proxy.server = proxy.newServer()
	return proxy, nil
}

// ServeHTTP takes one request through the proxy. It panics with
// http.ErrAbortHandler to cut an answer that was cut on its way here.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	p.activity.begin(started)
	defer p.activity.End()
	if p.draining.Load() {
		w.Header().Set(forward.HeaderConnection, "close")
	}
	ended := cut
	defer func() { p.metrics.observe(ended, time.Since(started)) }()

	exchange, problem := p.admit(w, r, started)
	if problem != nil {
		ended = failure(*problem)
		forward.SettleUnread(w, r)
		problem.Write(w)
		return
	}
	defer exchange.end()
	ended = exchange.run()
	if ended.aborts() {
		exchange.abort()
	}
}

// budgets holds the retry budget of each service.
type budgets struct {
	ratio    float64
	services sync.Map // service name to *retry.Budget
}

func (b *budgets) of(service string) *retry.Budget {
	if found, ok := b.services.Load(service); ok {
		return found.(*retry.Budget)
	}
	found, _ := b.services.LoadOrStore(service, retry.NewBudget(b.ratio))
	return found.(*retry.Budget)
}

// ending is how a request left the proxy, for metrics.
type ending struct {
	outcome string
	reason  outcome.Reason
}

const reasonNone outcome.Reason = "none"

var (
	answered   = ending{"answered", reasonNone}
	cut        = ending{"cut", reasonNone}
	late       = ending{"cut", outcome.ReasonDeadline}
	callerGone = ending{"caller-gone", reasonNone}
)

func failure(problem outcome.Problem) ending {
	return ending{string(problem.Outcome), problem.Reason}
}

// aborts reports whether the caller's connection must be cut.
func (e ending) aborts() bool { return e == cut || e == late || e == callerGone }
