// Package inbound is the node's side beside an instance: it alone sends requests
// to it. So it counts slots exactly, refuses what the instance must not get any
// more, and knows for each request whether the instance may have run it.
package inbound

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/boundedlog"
	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/snapshot"
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
	// Slots are those of an instance that names none.
	Slots int
	// MaxRestOnce is how long a connection to the instance may have rested that a
	// request which may not be repeated is sent on; zero takes defaultMaxRestOnce.
	MaxRestOnce time.Duration
	Logger      logrus.FieldLogger
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
	slots    atomic.Int64
	stop     atomic.Pointer[plannedStop]
	ended    endedInstances
	active   atomic.Int64
	lines    *boundedlog.Lines
	metrics  *metrics
}

// New returns a Proxy, or an error when its metrics cannot be registered.
func New(options Options) (*Proxy, error) {
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
		queue: queue.New(options.Slots),
		lines: boundedlog.New(options.Logger),
	}
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
		"reason": string(delivery.Report.Reason), "priority": order.Priority,
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
	asked := time.Now()
	slot, refusal, wait := p.queue.Acquire(ctx, queue.Ticket{
		Priority: order.Priority, Due: request.Arrived.Add(order.Due), LatestStart: deadline.Add(-order.Expected),
		MaxWait: order.MaxWait, Expected: order.Expected, Stays: order.Last,
	})
	p.metrics.waited(time.Since(asked))
	if refusal != queue.None {
		return p.refuse(reasonOf(refusal), wait)
	}
	if reason := p.recheck(ctx, request, order, deadline); reason != hop.ReasonNone {
		slot.Release(false)
		return p.refuse(reason, 0)
	}
	return p.send(ctx, request, order, deadline, slot)
}

func reasonOf(refusal queue.Refusal) hop.Reason {
	switch refusal {
	case queue.Expired:
		return hop.ReasonDeadline
	case queue.Cancelled:
		return hop.ReasonCancelled
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
	return hop.Report{Outcome: outcome, Reason: reason, Running: usage.Running, Waiting: usage.Waiting, Slots: usage.Slots}
}

// check decides whether the instance that is meant may get the request.
func (p *Proxy) check(order hop.Order) hop.Reason {
	current := p.options.Snapshots.Current()
	if current == nil {
		return hop.ReasonUnconfigured
	}
	instance, listed := current.Instance(order.Instance)
	switch {
	case !listed && order.Revision > uint64(current.Version().Revision):
		return hop.ReasonNone // the sender knows more; the instance itself checks its name
	case !listed, instance.State == snapshot.InstanceDraining:
		return hop.ReasonDraining
	case instance.Address != p.options.Backend, !current.HoldsAddress(order.Instance), p.ended.has(order.Instance):
		return hop.ReasonWrongInstance
	}
	p.follow(instance.Slots)
	return hop.ReasonNone
}

// recheck is asked right before the request is sent, as the wait for a slot may
// have been long.
func (p *Proxy) recheck(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time) hop.Reason {
	switch {
	case ctx.Err() != nil || request.SenderGone():
		return hop.ReasonCancelled
	case !deadline.After(time.Now()):
		return hop.ReasonDeadline
	default:
		return p.check(order)
	}
}

// follow takes over the slots that the instance names.
func (p *Proxy) follow(slots int) {
	if slots > 0 && p.slots.Swap(int64(slots)) != int64(slots) {
		p.queue.SetSlots(slots)
	}
}

// send sends the request to the instance and judges its answer.
func (p *Proxy) send(ctx context.Context, request *message.Request, order hop.Order, deadline time.Time, slot *queue.Slot) Delivery {
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	response, err := p.instance.Do(ctx, p.outgoing(request, order, deadline))
	if err != nil {
		cancel()
		delivery := p.failed(err, slot)
		delivery.Report.Execution = time.Since(started)
		return delivery
	}
	if reason := p.rejected(response); reason != hop.ReasonNone {
		response.Discard()
		cancel()
		slot.Release(false)
		if reason == hop.ReasonWrongInstance {
			p.ended.add(order.Instance)
		}
		return Delivery{Report: p.report(hop.Rejected, reason)}
	}
	if p.options.Names.Stamp != "" && len(response.Header[p.options.Names.Stamp]) != 1 && response.Status < http.StatusMultipleChoices {
		_ = response.Close()
		cancel()
		slot.Release(true)
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonInvalid), Err: errNoStamp}
	}
	return p.passOn(response, started, slot, cancel)
}

var errNoStamp = errors.New("the answer does not bear the instance's mark")

// outgoing is the request as the instance gets it.
func (p *Proxy) outgoing(request *message.Request, order hop.Order, deadline time.Time) *client.Request {
	names := p.options.Names
	header := maps.Clone(request.Header)
	remaining := time.Until(deadline)
	if remaining > 4*answerMargin {
		remaining -= answerMargin
	}
	set(header, names.RequestID, request.ID)
	set(header, names.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	set(header, names.ExpectInstance, order.Instance)
	set(header, names.CallerService, order.CallerService)
	sent := &client.Request{
		Method: request.Method, Target: request.Target, Host: request.Host,
		Header: header, Body: request.Body, ID: request.ID,
	}
	if !order.Repeatable {
		sent.MaxRest = p.options.MaxRestOnce
	}
	return sent
}

func set(header http.Header, name, value string) {
	if name != "" {
		header[name] = []string{value}
	}
}

// rejected tells why the instance says that it did not run the request.
func (p *Proxy) rejected(response *client.Response) hop.Reason {
	switch name := p.options.Names.NotExecuted; {
	case response.Status == http.StatusMisdirectedRequest:
		return hop.ReasonWrongInstance
	case name != "" && len(response.Header[name]) > 0:
		return hop.ReasonOverloaded
	default:
		return hop.ReasonNone
	}
}

// failed judges a send without an answer.
func (p *Proxy) failed(err error, slot *queue.Slot) Delivery {
	var failure *client.Error
	if !errors.As(err, &failure) {
		failure = &client.Error{Progress: client.SentWhole, Err: err}
	}
	slot.Release(false)
	switch {
	case failure.Progress == client.NotSent:
		return Delivery{Report: p.report(hop.Refused, hop.ReasonConnect), Err: err}
	case errors.Is(err, context.DeadlineExceeded):
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonDeadline), Err: err}
	case errors.Is(err, context.Canceled):
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonCancelled), Err: err}
	case failure.Invalid:
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonInvalid), Err: err}
	default:
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonBroken), Err: err}
	}
}

// passOn passes an answer on: a short one once it is whole, a long one or a
// stream of events as it comes.
func (p *Proxy) passOn(response *client.Response, started time.Time, slot *queue.Slot, cancel func()) Delivery {
	answer := &message.Answer{Status: response.Status, Header: response.Header, Length: response.Length}
	message.StripHopByHop(answer.Header)
	body, whole, err := response.Hold()
	if err == nil && !whole {
		answer.Body, answer.Stream = body, &stream{response: response, slot: slot, cancel: cancel}
		return Delivery{Report: p.report(hop.Answered, hop.ReasonNone), Answer: answer}
	}
	_ = response.Close()
	cancel()
	slot.Release(true)
	if err != nil {
		return Delivery{Report: p.report(hop.Unknown, hop.ReasonBroken), Err: err}
	}
	answer.Body, answer.Length = body, int64(len(body))
	report := p.report(hop.Answered, hop.ReasonNone)
	report.Execution = time.Since(started)
	return Delivery{Report: report, Answer: answer}
}

// stream is the rest of an answer; the slot is held until it is closed.
type stream struct {
	response *client.Response
	slot     *queue.Slot
	cancel   func()
}

// Read reads the answer of the instance.
func (s *stream) Read(data []byte) (int, error) { return s.response.Body.Read(data) }

// Close gives the slot back.
func (s *stream) Close() error {
	err := s.response.Close()
	s.cancel()
	s.slot.Release(true)
	return err
}

// endedInstances remembers for a while which instances turned out not to have the
// address under which they are listed.
type endedInstances struct {
	mutex sync.Mutex
	names map[string]time.Time // since when
}

const (
	// maxEnded bounds the names that are remembered.
	maxEnded = 1000
	// endedMemory is longer than the list names an instance that ended.
	endedMemory = 10 * time.Second
)

func (e *endedInstances) add(name string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.names == nil || len(e.names) >= maxEnded {
		e.names = make(map[string]time.Time)
	}
	e.names[name] = time.Now()
}

func (e *endedInstances) has(name string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	since, ended := e.names[name]
	return ended && time.Since(since) < endedMemory
}
