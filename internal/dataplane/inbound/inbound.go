// Package inbound proxies requests from other nodes to the node's local instance. No other
// process sends requests to the instance. The package can therefore count its slots exactly,
// refuse requests that the instance must no longer get, and determine for each request
// whether the instance may have executed it.
package inbound

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/boundedlog"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/classshare"
	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/dataplane/slotuse"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// SnapshotSource provides the current configuration.
type SnapshotSource interface {
	// Current returns nil until the node has received a configuration.
	Current() *snapshot.Snapshot
}

// Options configure a Proxy.
type Options struct {
	Names     message.Names
	Snapshots SnapshotSource
	// Backend is the address of the instance (IP:port).
	Backend string
	// Service and Zone are the service and zone of the instance.
	Service, Zone string
	// Cold sets by how much the cold rate of the service may be exceeded.
	Cold ColdBounds
	// Slots is the number of slots of an instance whose entry specifies none.
	Slots int
	// MaxIdleNonRepeatable is the maximum idle time of a connection that is reused for a
	// request which must not be repeated; zero selects defaultMaxIdleNonRepeatable.
	MaxIdleNonRepeatable time.Duration
	// LinkBytesPerSecond is the capacity of the machine's link; zero if not known.
	LinkBytesPerSecond float64
	// Budget limits the repeats of the requests that start at this node, which come from external
	// callers and from the local instance; nil means no limit.
	Budget *budget.Accounts
	// Suspects records the requests that may crash instances; if it is nil, the Proxy keeps a
	// ledger of its own.
	Suspects *suspects.Tracker
	// Statements holds what instances state about themselves; if it is nil, the Proxy keeps its own.
	Statements *statement.Tracker
	// Quota grants tokens of tenants to other nodes; nil refuses them.
	Quota *quota.Limiter
	// Egress schedules what the node sends over the machine's link; nil if that is not known.
	Egress EgressLink
	// Calls learns which requests of the instance make calls; nil: their priority is not inferred.
	Calls *callpriority.Tracker
	// Mechanisms are the mechanisms that are enabled.
	Mechanisms mechanism.Set
	Logger     logrus.FieldLogger
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
}

const (
	connectTimeout = time.Second
	// idleTimeout is how long an idle connection is kept if the instance specifies no time.
	idleTimeout = 4 * time.Second
	// defaultMaxIdleNonRepeatable is well below the idle time of 0.3 s after which instances
	// were seen to drop connections silently. A new connection costs about a millisecond.
	defaultMaxIdleNonRepeatable = 100 * time.Millisecond
	// answerMargin is how much earlier than the request's own deadline the deadline given to
	// the instance is, so that the instance's answer is still in time.
	answerMargin = 10 * time.Millisecond
)

// Proxy is safe for concurrent use.
type Proxy struct {
	options  Options
	instance *client.Pool
	queue    *queue.Queue
	link     *transfer.Gate
	speed    speedEstimate
	load     *instanceLoad
	cold     *coldTracker
	stated   *statedLimit
	rates    rateLimits
	slots    atomic.Int64
	stop     atomic.Pointer[plannedStop]
	stale    staleInstances
	crashes  *crashDetector
	probes   probeSemaphore
	origins  originTracker
	active   atomic.Int64
	lines    *boundedlog.Limiter
	slotUse  *slotuse.Ledger
	metrics  *metrics

	// responses admits large responses to the egress direction of the link.
	responses *responseLink
}

// New returns a Proxy, or an error if its metrics cannot be registered.
func New(options Options) (*Proxy, error) {
	if options.Budget == nil {
		options.Budget = budget.New(budget.Options{Slack: math.MaxInt32, FirstStart: true})
	}
	if options.Suspects == nil {
		options.Suspects = suspects.NewTracker()
	}
	if options.Statements == nil {
		options.Statements = statement.NewTracker()
	}
	if options.MaxIdleNonRepeatable == 0 {
		options.MaxIdleNonRepeatable = defaultMaxIdleNonRepeatable
	}
	created := &Proxy{
		options: options,
		instance: client.NewPool(client.Options{
			Address:        options.Backend,
			IDHeader:       options.Names.RequestID,
			ConnectTimeout: connectTimeout,
			IdleTimeout:    idleTimeout,
		}),
		link:  transfer.NewGate(transfer.Options{BytesPerSecond: options.LinkBytesPerSecond, ClassShares: options.Mechanisms.ClassShares}),
		lines: boundedlog.New(options.Logger), slotUse: slotuse.New(options.Logger),
	}
	created.probes = newProbeSemaphore()
	created.crashes = &crashDetector{isGone: created.instance.RefusesConnections, crashed: created.crashed}
	created.cold = newColdTracker(options, func() { created.queue.LimitChanged() })
	created.stated = newStatedLimit(options.Statements, time.Now())
	created.rates = rateLimits{cold: created.cold, stated: created.stated}
	created.queue = queue.NewRateLimited(options.Slots, created.rates)
	if options.Mechanisms.SlotReservation {
		created.queue.ReserveByPriority()
	}
	if options.Mechanisms.ClassShares {
		created.queue.GuaranteeShares(classshare.New())
		created.queue.PutLateLast()
	}
	created.slots.Store(int64(options.Slots))
	var err error
	if created.responses, err = newResponseLink(options); err != nil {
		return nil, err
	}
	if created.metrics, err = newMetrics(options.Registerer, created.queue, created.cold, created.slotUse); err != nil {
		return nil, err
	}
	created.load, err = newInstanceLoad(options)
	return created, err
}

// plannedStop holds the time from which new requests are refused and the time at which the
// last request must have ended.
type plannedStop struct{ refuseAt, end time.Time }

// Drain announces a graceful shutdown of the node. The instance keeps running, so requests are
// sent to it until refuseAt if their deadlines are not after end.
func (p *Proxy) Drain(refuseAt, end time.Time) {
	p.stop.Store(&plannedStop{refuseAt: refuseAt, end: end})
}

// stopsBefore reports whether a graceful shutdown leaves no time for a request with the deadline.
func (p *Proxy) stopsBefore(deadline time.Time) bool {
	stop := p.stop.Load()
	return stop != nil && (deadline.After(stop.end) || !time.Now().Before(stop.refuseAt))
}

// Active returns the number of requests in progress.
func (p *Proxy) Active() int { return int(p.active.Load()) }

// Maintain closes connections that were idle for too long, and writes the line about the slots of the last second.
func (p *Proxy) Maintain(now time.Time) {
	p.instance.Prune(now)
	p.slotUse.Flush(now)
}

// Close closes the idle connections.
func (p *Proxy) Close() {
	p.instance.Close()
	p.cold.checker.close()
}

// Delivery is the result of a request. It holds an answer of the instance if the report's
// outcome is hop.Answered.
type Delivery struct {
	Report   hop.Report
	Response *message.Response
	// Err is the reason why there is no answer. It is only logged.
	Err error
	// withdrawn is set if the request waited to be served late until the forecast no longer held.
	withdrawn bool
}

// Serve handles a request from another node.
func (p *Proxy) Serve(ctx context.Context, request *message.Request) *message.Response {
	if request.Method == client.VerifyMethod && request.Target == client.VerifyTarget {
		answer := message.Whole(http.StatusNoContent, nil, nil)
		set(answer.Header, p.options.Names.RequestID, request.ID)
		return answer
	}
	if request.Method == quota.Method && request.Target == quota.Target && p.options.Quota != nil {
		return p.grantTokens(request)
	}
	order, err := hop.OrderFrom(request.Header)
	if err != nil {
		return p.answerFor(request, Delivery{Report: p.report(hop.Refused, hop.ReasonMalformed), Err: err})
	}
	hop.Strip(request.Header)
	answer := p.answerFor(request, p.Deliver(ctx, request, order))
	answer.Urgency = urgencyOf(request, order)
	return answer
}

// grantTokens answers another node's request for tokens of a tenant.
func (p *Proxy) grantTokens(request *message.Request) *message.Response {
	status := http.StatusOK
	body, err := p.options.Quota.Serve(p.options.Snapshots.Current(), request.Body)
	if err != nil {
		p.options.Logger.WithError(err).Warn("a request for tokens is refused")
		status, body = http.StatusBadRequest, nil
	}
	answer := message.Whole(status, nil, body)
	set(answer.Header, p.options.Names.RequestID, request.ID)
	return answer
}

// answerFor returns the answer for the other node, which accepts no answer without the
// ID of its request.
func (p *Proxy) answerFor(request *message.Request, delivery Delivery) *message.Response {
	answer := delivery.Response
	if answer == nil {
		answer = message.Whole(http.StatusServiceUnavailable, nil, nil)
		set(answer.Header, p.options.Names.RequestID, request.ID)
	}
	delivery.Report.AddTo(answer.Header)
	return answer
}

// Deliver sends a request to the instance. A request that it refuses was not executed.
func (p *Proxy) Deliver(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	delivery := p.deliver(ctx, request, order)
	delivery.Report.ExternalCallers = p.isShared(request, order)
	p.countLimited(order, delivery.Report.Reason)
	p.metrics.observeDelivery(delivery.Report)
	p.recordSlotUse(order, delivery)
	p.log(request, order, delivery)
	return delivery
}

// deliver implements Deliver without logs and metrics.
func (p *Proxy) deliver(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	p.active.Add(1)
	defer p.active.Add(-1)
	deadline := request.Arrived.Add(order.Remaining)
	if p.stopsBefore(deadline) {
		return p.refuse(hop.ReasonDraining, 0)
	}
	if reason := p.checkTarget(order); reason != hop.ReasonNone {
		return p.refuse(reason, 0)
	}
	switch standing := p.standing(request); {
	case standing == suspects.Quarantined:
		return p.refuse(hop.ReasonCrashesInstances, 0)
	case standing == suspects.Suspected, order.Suspected:
		return p.deliverSuspect(ctx, request, order, standing == suspects.Suspected)
	}
	return p.deliverOverLink(ctx, request, order)
}

// deliverAdmitted waits for a slot and sends the request.
func (p *Proxy) deliverAdmitted(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	deadline := request.Arrived.Add(order.Remaining)
	if order.RepeatPercent >= hop.CertainRepeat && !p.options.Budget.Fits(repetitionOf(order), time.Now()) {
		return p.refuse(hop.ReasonRepeats, 0)
	}
	if wait := p.limitedFor(order); wait > 0 {
		return p.refuse(hop.ReasonLimited, wait)
	}
	p.cold.awaitFirstCheck(ctx)
	asked := time.Now()
	slot, refusal, wait := p.queue.Acquire(ctx, p.ticketFor(request, order))
	waited := time.Since(asked)
	p.metrics.observeWait(waited)
	if refusal != queue.None {
		delivery := p.refuse(p.reasonOf(refusal), wait)
		delivery.Report.Waited, delivery.withdrawn = waited, refusal == queue.Withdrawn
		return delivery
	}
	if reason := p.recheckTarget(ctx, request, order, deadline); reason != hop.ReasonNone {
		slot.Release(false)
		return p.refuse(reason, 0)
	}
	delivery := p.run(ctx, request, order, deadline, slot)
	delivery.Report.Waited = waited
	return delivery
}

// run sends the request to the instance and counts it in the budget while the instance
// processes it.
func (p *Proxy) run(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time, slot *queue.Slot) Delivery {
	run, admitted := p.options.Budget.Begin(repetitionOf(order), time.Now())
	if !admitted {
		slot.Release(false)
		return p.refuse(hop.ReasonRepeats, 0)
	}
	parent := p.beginParent(request, order)
	delivery := p.send(ctx, request, order, deadline, slot)
	if delivery.Response != nil {
		if rest, ok := delivery.Response.Stream.(*stream); ok {
			rest.run, rest.parent = run, parent
			return delivery
		}
	}
	run.End()
	parent.End(time.Now())
	return delivery
}

// repetitionOf returns what the sender states about the request being a repeat.
func repetitionOf(order hop.Order) budget.Repetition {
	return budget.Repetition{Probability: float64(order.RepeatPercent) / hop.CertainRepeat, Failed: order.Failed}
}

// isShared records the service at whose node a request starts, and reports whether the
// requests of its route start at the nodes of all services.
func (p *Proxy) isShared(request *message.Request, order hop.Order) bool {
	current := p.options.Snapshots.Current()
	if current == nil {
		return false
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	return route != nil && p.origins.record(route.Name, order.CallerService, current)
}
