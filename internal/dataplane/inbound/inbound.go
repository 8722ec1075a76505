// Package inbound is the node's side beside an instance: it alone sends requests
// to it. So it counts slots exactly, refuses what the instance must not get any
// more, and knows for each request whether the instance may have run it.
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
	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// SnapshotSource gives the configuration in force.
type SnapshotSource interface {
	// Current returns nil until the node holds a version.
	Current() *snapshot.Snapshot
}

// Options set up a Proxy.
type Options struct {
	Names     message.Names
	Snapshots SnapshotSource
	// Backend is the address of the instance (IP:port).
	Backend string
	// Service and Zone are those of the instance.
	Service, Zone string
	// Cold is the tolerance above the cold rate of the service.
	Cold ColdBounds
	// Slots are those of an instance that names none.
	Slots int
	// MaxRestOnce is how long a connection to the instance may have rested that a
	// request which may not be repeated is sent on; zero takes defaultMaxRestOnce.
	MaxRestOnce time.Duration
	// LinkBytesPerSecond is the capacity of the machine's link; zero: not known.
	LinkBytesPerSecond float64
	// Budget bounds the repeats of what starts at this node, the calls of the instance too;
	// nil: nothing bounds them.
	Budget *budget.Accounts
	// Suspects knows the requests that may crash instances; nil: they are known here alone.
	Suspects *suspects.Ledger
	// Mechanisms that are on.
	Mechanisms mechanism.Set
	Logger     logrus.FieldLogger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
}

const (
	connectTimeout = time.Second
	// idleTimeout is how long a connection rests when the instance names no time.
	idleTimeout = 4 * time.Second
	// defaultMaxRestOnce is well below the time after which instances were seen to
	// forget connections (0.3 s); a new connection costs about a millisecond.
	defaultMaxRestOnce = 100 * time.Millisecond
	// answerMargin is how much earlier the instance's time is over than the
	// request's, so that its own answer is still in time.
	answerMargin = 10 * time.Millisecond
)

// Proxy is safe for concurrent use.
type Proxy struct {
	options  Options
	instance *client.Pool
	queue    *queue.Queue
	link     *transfer.Gate
	speed    speed
	cold     *coldness
	slots    atomic.Int64
	stop     atomic.Pointer[plannedStop]
	ended    endedInstances
	crashes  *crashWatch
	probes   probes
	origins  origins
	active   atomic.Int64
	lines    *boundedlog.Lines
	metrics  *metrics
}

// New returns a Proxy, or an error when its metrics cannot be registered.
func New(options Options) (*Proxy, error) {
	if options.Budget == nil {
		options.Budget = budget.New(budget.Options{Slack: math.MaxInt32, FirstStart: true})
	}
	if options.Suspects == nil {
		options.Suspects = suspects.NewLedger()
	}
	if options.MaxRestOnce == 0 {
		options.MaxRestOnce = defaultMaxRestOnce
	}
	created := &Proxy{
		options: options,
		instance: client.NewPool(client.Options{
			Address:        options.Backend,
			IDHeader:       options.Names.RequestID,
			ConnectTimeout: connectTimeout,
			IdleTimeout:    idleTimeout,
		}),
		link:  transfer.NewGate(transfer.Options{BytesPerSecond: options.LinkBytesPerSecond}),
		lines: boundedlog.New(options.Logger),
	}
	created.probes = newProbes()
	created.crashes = &crashWatch{isGone: created.instance.IsGone, crashed: created.crashed}
	created.cold = newColdness(options)
	created.queue = queue.NewPaced(options.Slots, created.cold.limit)
	created.slots.Store(int64(options.Slots))
	var err error
	created.metrics, err = newMetrics(options.Registerer, created.queue)
	return created, err
}

// plannedStop is when new requests are refused, and when the last must have ended.
type plannedStop struct{ refuseAt, end time.Time }

// Drain announces a planned stop: the instance lives on, so requests are brought to
// it until refuseAt, if they end before the stop's end.
func (p *Proxy) Drain(refuseAt, end time.Time) {
	p.stop.Store(&plannedStop{refuseAt: refuseAt, end: end})
}

// leaves reports whether a planned stop leaves no time for a request.
func (p *Proxy) leaves(deadline time.Time) bool {
	stop := p.stop.Load()
	return stop != nil && (deadline.After(stop.end) || !time.Now().Before(stop.refuseAt))
}

// Active counts the requests in progress.
func (p *Proxy) Active() int { return int(p.active.Load()) }

// Maintain closes connections that rested for too long.
func (p *Proxy) Maintain(now time.Time) { p.instance.Prune(now) }

// Close closes the connections that rest.
func (p *Proxy) Close() { p.instance.Close() }

// Delivery is what became of a request: an answer of the instance when the
// report's outcome is hop.Answered, otherwise none.
type Delivery struct {
	Report hop.Report
	Answer *message.Answer
	// Err is why there is no answer, for logs.
	Err error
}

// Serve takes a request of another node.
func (p *Proxy) Serve(ctx context.Context, request *message.Request) *message.Answer {
	if request.Method == client.VerifyMethod && request.Target == client.VerifyTarget {
		answer := message.Whole(http.StatusNoContent, nil, nil)
		set(answer.Header, p.options.Names.RequestID, request.ID)
		return answer
	}
	order, err := hop.DecodeOrder(request.Header.Get(hop.Header))
	if err != nil {
		return p.answerOf(request, Delivery{Report: p.report(hop.Refused, hop.ReasonMalformed), Err: err})
	}
	delete(request.Header, hop.Header)
	return p.answerOf(request, p.Deliver(ctx, request, order))
}

// answerOf makes the answer for the other node, which takes no answer without the
// id of its request.
func (p *Proxy) answerOf(request *message.Request, delivery Delivery) *message.Answer {
	answer := delivery.Answer
	if answer == nil {
		answer = message.Whole(http.StatusServiceUnavailable, nil, nil)
		set(answer.Header, p.options.Names.RequestID, request.ID)
	}
	answer.Header[hop.Header] = []string{delivery.Report.Encode()}
	return answer
}

// Deliver brings a request to the instance. Whatever it refuses has not run.
func (p *Proxy) Deliver(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	delivery := p.deliver(ctx, request, order)
	delivery.Report.Shared = p.isShared(request, order)
	p.metrics.delivered(delivery.Report)
	p.log(request, order, delivery)
	return delivery
}

// log writes a line about a request that the instance did not answer.
func (p *Proxy) log(request *message.Request, order hop.Order, delivery Delivery) {
	if delivery.Report.Outcome == hop.Answered {
		return
	}
	entry, ok := p.lines.Take(true)
	if !ok {
		return
	}
	entry = entry.WithFields(logrus.Fields{
		"request": request.ID, "instance": order.Instance, "outcome": string(delivery.Report.Outcome),
		"reason": string(delivery.Report.Reason), "priority": order.Priority, "value": order.Value,
		"ms": time.Since(request.Arrived).Milliseconds(), "left_ms": (order.Remaining - time.Since(request.Arrived)).Milliseconds(),
		"may_wait_ms": order.MaxWait.Milliseconds(), "due_ms": order.Due.Milliseconds(),
		"expected_ms": order.Expected.Milliseconds(), "wait_ms": delivery.Report.RetryAfter.Milliseconds(), "running": delivery.Report.Running,
		"waiting": delivery.Report.Waiting, "slots": delivery.Report.Slots, "sender_revision": order.Revision,
	})
	if delivery.Err != nil {
		entry = entry.WithError(delivery.Err)
	}
	entry.Warn("request not answered by the instance")
}

// deliver is Deliver without its log.
func (p *Proxy) deliver(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	p.active.Add(1)
	defer p.active.Add(-1)
	deadline := request.Arrived.Add(order.Remaining)
	if p.leaves(deadline) {
		return p.refuse(hop.ReasonDraining, 0)
	}
	if reason := p.check(order); reason != hop.ReasonNone {
		return p.refuse(reason, 0)
	}
	switch standing := p.standing(request); {
	case standing == suspects.Quarantined:
		return p.refuse(hop.ReasonCrashesInstances, 0)
	case standing == suspects.Suspected, order.Suspected:
		return p.deliverSuspect(ctx, request, order, standing == suspects.Suspected)
	}
	return p.deliverAdmitted(ctx, request, order)
}

// deliverAdmitted waits for a slot and sends the request.
func (p *Proxy) deliverAdmitted(ctx context.Context, request *message.Request, order hop.Order) Delivery {
	deadline := request.Arrived.Add(order.Remaining)
	if order.Repeat >= hop.Certain && !p.options.Budget.Fits(againOf(order), time.Now()) {
		return p.refuse(hop.ReasonRepeats, 0)
	}
	asked := time.Now()
	slot, refusal, wait := p.queue.Acquire(ctx, p.ticketOf(request, order))
	waited := time.Since(asked)
	p.metrics.waited(waited)
	if refusal != queue.None {
		delivery := p.refuse(reasonOf(refusal), wait)
		delivery.Report.Waited = waited
		return delivery
	}
	if reason := p.recheck(ctx, request, order, deadline); reason != hop.ReasonNone {
		slot.Release(false)
		return p.refuse(reason, 0)
	}
	delivery := p.run(ctx, request, order, deadline, slot)
	delivery.Report.Waited = waited
	return delivery
}

// run sends the request to the instance and counts it as long as the instance works on it.
func (p *Proxy) run(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time, slot *queue.Slot) Delivery {
	begun, admitted := p.options.Budget.Begin(againOf(order), time.Now())
	if !admitted {
		slot.Release(false)
		return p.refuse(hop.ReasonRepeats, 0)
	}
	delivery := p.send(ctx, request, order, deadline, slot)
	if delivery.Answer != nil {
		if rest, streams := delivery.Answer.Stream.(*stream); streams {
			rest.run = begun
			return delivery
		}
	}
	begun.End()
	return delivery
}

// againOf is how far a request is a repeat, by what its sender says.
func againOf(order hop.Order) budget.Again {
	return budget.Again{Probability: float64(order.Repeat) / hop.Certain, Failed: order.Failed}
}

// isShared notes where a request starts, and reports whether those of its route start
// beside all services.
func (p *Proxy) isShared(request *message.Request, order hop.Order) bool {
	current := p.options.Snapshots.Current()
	if current == nil {
		return false
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	return route != nil && p.origins.note(route.Name, order.CallerService, current)
}

// ticketOf asks for a slot for the request.
func (p *Proxy) ticketOf(request *message.Request, order hop.Order) queue.Ticket {
	ticket := queue.Ticket{
		Priority: order.Priority, Value: queue.Value(order.Value), Due: request.Arrived.Add(order.Due),
		LatestStart: request.Arrived.Add(order.Remaining - order.Expected),
		MaxWait:     order.MaxWait, Expected: order.Expected, Length: order.Expected, OnlyCandidate: order.OnlyCandidate,
	}
	on := p.options.Mechanisms
	if !on.ValueOrder {
		ticket.Value = queue.Full
	}
	if !on.DueOrder {
		ticket.Due = request.Arrived
	}
	if !on.ShortFirst {
		ticket.Length = 0
	}
	ticket.OnlyCandidate = ticket.OnlyCandidate && on.Stays
	return ticket
}

func reasonOf(refusal queue.Refusal) hop.Reason {
	switch refusal {
	case queue.Expired:
		return hop.ReasonDeadline
	case queue.Cancelled:
		return hop.ReasonCancelled
	case queue.Paced:
		return hop.ReasonCold
	default:
		return hop.ReasonOverloaded
	}
}

func (p *Proxy) refuse(reason hop.Reason, wait time.Duration) Delivery {
	report := p.report(hop.Refused, reason)
	report.RetryAfter = wait
	return Delivery{Report: report}
}

// report tells the load of the instance as counted here.
func (p *Proxy) report(outcome hop.Outcome, reason hop.Reason) hop.Report {
	usage := p.queue.Usage()
	const kibibyte = 1024
	return hop.Report{
		Outcome: outcome, Reason: reason, Running: usage.Running, Waiting: usage.Waiting, Slots: usage.Slots,
		Backlog: p.link.Backlog(), LinkRate: int(p.link.Rate() / kibibyte), Speed: p.speed.hundredths(),
		ColdFor: p.cold.limit.ColdFor(time.Now()),
	}
}
