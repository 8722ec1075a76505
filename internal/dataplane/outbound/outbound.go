// Package outbound is the proxy for the requests of callers: it finds the route, chooses an
// instance and sends the request to its sidecar. It repeats a send only when that is
// safe. Each request gets exactly one final answer, at the latest at its deadline.
//
// A send offers the request to one instance. A repeat is a further send by the proxy after an
// instance may have got the request; a retry is a further request by the caller.
package outbound

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/callerretry"
	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/losses"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// SnapshotSource returns the configuration in use.
type SnapshotSource interface {
	// Current returns nil until the node has a configuration.
	Current() *snapshot.Snapshot
}

// LocalInbound is the inbound proxy of the same node.
type LocalInbound interface {
	Deliver(ctx context.Context, request *message.Request, order hop.Order) inbound.Delivery
}

// Options set up a Proxy.
type Options struct {
	Names     message.Names
	Snapshots SnapshotSource
	// Service is the service of this node's instance, where requests start.
	Service string
	Zone    string
	// Backend is the address of this node's instance, to which LocalInbound delivers;
	// empty: none.
	Backend      string
	LocalInbound LocalInbound
	// NodePort is the port on which the sidecars of other instances accept requests.
	NodePort int
	// Egress schedules what is sent over the machine's network link; nil: nothing is paced.
	Egress *transfer.Egress
	// Calls infers the priority of calls that the local instance makes; nil: they have that of their route.
	Calls *callpriority.Tracker
	// Mechanisms are the mechanisms that are switched on.
	Mechanisms mechanism.Set
	// Budget limits the repeats of requests that start at this node.
	Budget *budget.Accounts
	// Quota limits the requests of tenants; nil: they are not limited.
	Quota *quota.Limiter
	// Regions holds the region of each zone. A zone that is missing is in no allowed region.
	Regions map[string]string
	// Suspects records the requests that may crash instances; nil: a new, empty tracker.
	Suspects *suspects.Tracker
	// Statements holds what instances state about themselves; nil: a new, empty tracker.
	Statements *statement.Tracker
	// SourceAge returns how long ago the configuration in force was last known to be the newest, for the
	// log; nil: not known.
	SourceAge func() (age time.Duration, known bool)
	Logger    logrus.FieldLogger
	// Registerer registers the metrics; nil: they are not registered.
	Registerer prometheus.Registerer
}

// Proxy serves the requests of callers. It is safe for concurrent use.
type Proxy struct {
	options       Options
	balancer      *balance.Balancer
	sidecars      sidecars
	targets       targetSelector
	callerRetries *callerretry.Tracker
	losses        *losses.Ledger
	repeatLedger  *repeats.Ledger
	log           *requestLog
	metrics       *metrics
	// stopAt is when a graceful shutdown ends, in nanoseconds since epoch; zero: none.
	stopAt atomic.Int64
	// stopped is cancelled by Stop.
	stopped context.Context
	stop    context.CancelFunc

	externalRoutes externalRoutes
	services       *admission.Services
	priorityUse    priorityUse
}

// New returns a Proxy.
func New(options Options) (*Proxy, error) {
	registered, err := newMetrics(options.Registerer)
	if err != nil {
		return nil, err
	}
	if options.Suspects == nil {
		options.Suspects = suspects.NewTracker()
	}
	if options.Statements == nil {
		options.Statements = statement.NewTracker()
	}
	stopped, stop := context.WithCancel(context.Background())
	created := &Proxy{
		stopped: stopped,
		stop:    stop,
		options: options,
		balancer: balance.New(balance.Options{
			Zone: options.Zone, LocalAddress: options.Backend, Mechanisms: options.Mechanisms, LinkKnown: options.Egress != nil,
		}),
		sidecars:      newSidecarPools(options),
		callerRetries: callerretry.New(),
		losses:        losses.New(options.Logger),
		log:           newRequestLog(options.Logger, options.SourceAge),
		metrics:       registered,
		services:      admission.NewServices(),
	}
	created.repeatLedger = repeats.New(options.Logger, created.budgetState)
	if options.Quota != nil {
		options.Quota.SetTransport(created.sidecars.requestTokens)
	}
	return created, nil
}

// Drain announces the end of a graceful shutdown: from now on, requests that might not be
// answered by then are refused.
func (p *Proxy) Drain(end time.Time) { p.stopAt.Store(int64(end.Sub(epoch))) }

// Stop ends all requests in progress; each gets its final answer now.
func (p *Proxy) Stop() { p.stop() }

// epoch is the reference time of stopAt.
var epoch = time.Now()

// stopsBefore reports whether a graceful shutdown ends before the deadline.
func (p *Proxy) stopsBefore(deadline time.Time) bool {
	stopAt := p.stopAt.Load()
	return stopAt > 0 && deadline.Sub(epoch) > time.Duration(stopAt)
}

// Maintain closes connections that were idle for too long, and flushes the logs that are
// due.
func (p *Proxy) Maintain(now time.Time) {
	p.sidecars.prune(now)
	p.losses.Flush(now)
	p.repeatLedger.Flush(now)
	p.pruneStatements(now)
}

// Close closes the idle connections.
func (p *Proxy) Close() { p.sidecars.close() }

// unconfiguredRetryAfter is when callers should retry at a node that has no configuration
// yet.
const unconfiguredRetryAfter = 300 * time.Millisecond

// stoppingRetryAfter is when callers should retry at a node that stops.
const stoppingRetryAfter = time.Second

// Serve answers one request of a caller.
func (p *Proxy) Serve(ctx context.Context, request *message.Request) *message.Response {
	started, refusal := p.begin(request)
	if refusal != nil {
		return refusal
	}
	if refusal := p.refuseBeyondQuota(ctx, started); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, started.deadline)
	release := context.AfterFunc(p.stopped, cancel)
	defer release()
	started.ctx = ctx
	answer := started.run()
	answer.Urgency = started.answerUrgency()
	started.returnToken()
	if answer.Stream != nil {
		answer.Stream = &cancelOnClose{ReadCloser: answer.Stream, cancel: cancel}
		return answer
	}
	cancel()
	return answer
}

// begin returns the exchange for a request, or the answer to one that must not be sent: the route, the
// caller and the deadline decide.
func (p *Proxy) begin(request *message.Request) (*exchange, *message.Response) {
	if request.IsClientGone() {
		return nil, &message.Response{Abort: true}
	}
	current := p.options.Snapshots.Current()
	if current == nil {
		return nil, p.refuseUnconfigured(request)
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	if route == nil {
		p.log.noRoute(request, current)
		p.metrics.ended("", outcomeNoRoute, 0)
		return nil, p.errorAnswer(request, http.StatusNotFound, "no route takes the request", 0)
	}
	identity, refusal := tenancy.Authenticate(current, route, request.Header)
	if refusal != "" {
		return nil, p.refuseUnauthenticated(request, route, current, refusal)
	}
	if isUnusable(route, identity) {
		return nil, p.refuseUnusable(request, route, identity, current)
	}
	callerTimeout, ok := p.callerTimeoutOf(request, route)
	if !ok {
		return nil, p.errorAnswer(request, http.StatusBadRequest, p.options.Names.Deadline+" is not a number of milliseconds", 0)
	}
	deadline := request.Arrived.Add(min(callerTimeout, route.Timeout))
	if p.stopsBefore(deadline) {
		p.metrics.ended("", outcomeNotRun, 0)
		return nil, p.errorAnswer(request, http.StatusServiceUnavailable, "the node stops", stoppingRetryAfter)
	}
	p.priorityUse.arrived(route.Priority, request.Arrived)
	p.stripReservedHeaders(request.Header)
	if current.RequiresKeys() {
		delete(request.Header, tenancy.HeaderAuthorization)
	}
	return &exchange{
		proxy: p, request: request, current: current, route: route, identity: identity,
		deadline: deadline, callerTimeout: callerTimeout,
		caller:  p.callerRetries.Arrived(route.Name, callerTimeout, request.Arrived),
		call:    p.assessCall(current, route, identity, request.Arrived),
		service: p.targets.choose(route),
		tried:   make(map[string]bool),
	}, nil
}

// Refuse returns the answer to a request that the server could not accept.
func (p *Proxy) Refuse(status int, reason string) *message.Response {
	p.metrics.ended("", outcomeMalformed, 0)
	return p.errorAnswer(nil, status, reason, 0)
}

// bodyRetryAfter is when callers should retry a request whose body found no memory.
const bodyRetryAfter = time.Second

// RefuseBody returns the answer to a request whose body finds no memory.
func (p *Proxy) RefuseBody(request *message.Request) *message.Response {
	p.metrics.ended("", outcomeNotRun, 0)
	return p.errorAnswer(request, http.StatusServiceUnavailable, "not run: too many bodies are held", spread(bodyRetryAfter))
}

func (p *Proxy) refuseUnconfigured(request *message.Request) *message.Response {
	p.metrics.ended("", outcomeNotRun, 0)
	return p.errorAnswer(request, http.StatusServiceUnavailable, "the node holds no configuration yet", unconfiguredRetryAfter)
}

// callerTimeoutOf returns how long the caller waits: as long as its request says, or else
// as long as the route allows. It returns false if the header is invalid.
func (p *Proxy) callerTimeoutOf(request *message.Request, route *snapshot.Route) (time.Duration, bool) {
	values := request.Header[p.options.Names.Deadline]
	if len(values) == 0 {
		return route.Timeout, true
	}
	millis, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || millis < 0 || millis > maxCallerTimeoutMillis || len(values) > 1 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// maxCallerTimeoutMillis limits the timeout that a caller may send (a day).
const maxCallerTimeoutMillis = 24 * 60 * 60 * 1000

// stripReservedHeaders removes the headers that only the proxies may send to an instance.
func (p *Proxy) stripReservedHeaders(header http.Header) {
	names := p.options.Names
	for _, name := range []string{
		names.RequestID, names.Deadline, names.ExpectInstance, names.CallerService, names.Tenant,
		names.NotExecuted, names.Load, hop.Header, hop.HeaderLimit, hop.HeaderAdmission,
	} {
		delete(header, name)
	}
}

const (
	headerRetryAfter  = "Retry-After"
	headerContentType = "Content-Type"
	plainText         = "text/plain; charset=utf-8"
)

// errorAnswer returns an answer made by the proxy itself.
func (p *Proxy) errorAnswer(request *message.Request, status int, reason string, retryAfter time.Duration) *message.Response {
	answer := message.Whole(status, nil, []byte(reason+"\n"))
	answer.Header[headerContentType] = []string{plainText}
	if request != nil && p.options.Names.RequestID != "" {
		answer.Header[p.options.Names.RequestID] = []string{request.ID}
	}
	if retryAfter > 0 {
		answer.Header[headerRetryAfter] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	return answer
}

// cancelOnClose cancels the exchange when the stream of its answer is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the stream, then cancels its exchange.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
