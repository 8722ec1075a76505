package inbound

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/instanceload"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// instanceLoad holds the load that the local instance states in its answers. It has an effect only while the
// instance states how long its work takes: expected service times and the reported speed follow that, and
// the slot of a request whose caller has left stays taken until the instance has ended the request.
type instanceLoad struct {
	names   message.Names
	enabled bool
	metrics *loadMetrics

	mutex  sync.Mutex
	record instanceload.Record
	speed  usualSpeed
	runs   instanceload.Runs
	held   map[*instanceload.Run]*heldSlot
}

// heldSlot is the slot of a request whose caller has left, and the timer that releases it at the latest.
type heldSlot struct {
	slot  *queue.Slot
	timer *time.Timer
}

// loadedRun is a request that was sent to the instance, with what the instance stated before that.
type loadedRun struct {
	run *instanceload.Run
	// percentAtStart and percentAtAnswer are how long work took then, in percent; zero: not known.
	percentAtStart, percentAtAnswer int
}

func newInstanceLoad(options Options) (*instanceLoad, error) {
	created := &instanceLoad{
		names: options.Names, enabled: options.Mechanisms.LoadReports && options.Names.Load != "",
		held: make(map[*instanceload.Run]*heldSlot),
	}
	var err error
	created.metrics, err = newLoadMetrics(options.Registerer, created)
	return created, err
}

// begin records a request that is sent now. The returned function ends it together with cancel.
func (l *instanceLoad) begin(now time.Time, cancel func()) (*loadedRun, func()) {
	if !l.enabled {
		return &loadedRun{}, cancel
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	begun := &loadedRun{run: l.runs.Begin(now), percentAtStart: l.record.SlowdownPercent(now)}
	return begun, func() {
		cancel()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.runs.End(begun.run, time.Now())
	}
}

// observe applies the load that the answer to a request states. An answer with the status 421 comes from
// another instance at the address. executed is false if the answer rejects the request.
func (l *instanceLoad) observe(begun *loadedRun, status int, header http.Header, executed bool, sent, now time.Time) error {
	if !l.enabled || status == http.StatusMisdirectedRequest {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs.Answered(begun.run, now)
	load, stated, err := instanceload.Decode(l.names, header)
	if err != nil {
		l.metrics.malformed.Inc()
		return err
	}
	if !stated {
		return nil
	}
	begun.percentAtAnswer = load.SlowdownPercent
	l.record.Observe(load, sent, now)
	if l.runs.Observe(begun.run, load, executed, now) {
		time.AfterFunc(instanceload.FlightTime, l.settle)
	}
	return nil
}

// settle releases the slots of the abandoned requests that have ended according to the load.
func (l *instanceLoad) settle() {
	l.mutex.Lock()
	slots := l.takeHeld(l.runs.Settle(time.Now()))
	l.mutex.Unlock()
	releaseAll(slots)
}

// hold keeps the slot of a request whose caller has left, as the instance may go on with it, and reports
// whether it does: an instance that does not state its slowdown is taken to end the request. expected is
// the expected service time.
func (l *instanceLoad) hold(begun *loadedRun, slot *queue.Slot, expected time.Duration, now time.Time) bool {
	if !l.enabled {
		return false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.record.StatesSlowdown() {
		return false
	}
	run := begun.run
	l.runs.Abandon(run, expected, now)
	l.held[run] = &heldSlot{slot: slot, timer: time.AfterFunc(run.Until().Sub(now), func() { l.expire(run) })}
	l.metrics.abandoned.Inc()
	return true
}

// expire releases the slot of an abandoned request that counts as ended.
func (l *instanceLoad) expire(run *instanceload.Run) {
	l.mutex.Lock()
	if !l.runs.Expire(run) {
		l.mutex.Unlock()
		return
	}
	slots := l.takeHeld([]*instanceload.Run{run})
	l.mutex.Unlock()
	l.metrics.expired.Inc()
	releaseAll(slots)
}

// crashed releases the slots of all abandoned requests: the instance runs none any more.
func (l *instanceLoad) crashed() {
	l.mutex.Lock()
	slots := l.takeHeld(l.runs.Crashed())
	l.mutex.Unlock()
	releaseAll(slots)
}

// takeHeld removes and returns the slots of requests. The caller must hold the mutex.
func (l *instanceLoad) takeHeld(ended []*instanceload.Run) []*queue.Slot {
	var slots []*queue.Slot
	for _, run := range ended {
		taken := l.held[run]
		delete(l.held, run)
		taken.timer.Stop()
		slots = append(slots, taken.slot)
	}
	return slots
}

func releaseAll(slots []*queue.Slot) {
	for _, slot := range slots {
		slot.Release(false)
	}
}

// heldSlots returns the number of slots that are taken by requests whose callers have left.
func (l *instanceLoad) heldSlots() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs.Abandoned()
}

// recordExecution adds the processing time of a request, and the time that an ordinary instance needs for it,
// to the instance's usual speed.
func (l *instanceLoad) recordExecution(begun *loadedRun, execution, ordinary time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.speed.record(execution, ordinary, begun.percentAtStart, begun.percentAtAnswer)
}

// momentaryPercent returns how long work takes at the moment, in percent of the instance's usual time, as it states
// it; zero if that is not known.
func (l *instanceLoad) momentaryPercent(now time.Time) int {
	if !l.enabled {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.record.SlowdownPercent(now)
}

// usualPercent returns the instance's usual processing time in percent of that of an ordinary instance; zero if it is
// not known or the instance does not state its slowdown.
func (l *instanceLoad) usualPercent() int {
	if !l.enabled {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.record.StatesSlowdown() {
		return 0
	}
	return l.speed.percent()
}

// maxExpectedServiceTime bounds the expected service time: the time stated by another node is not limited, and no
// request runs for a day.
const maxExpectedServiceTime = 24 * time.Hour

// expectedServiceTime returns how long the instance is expected to work on a request for which an ordinary
// instance needs the given time; zero if that is not known.
func (l *instanceLoad) expectedServiceTime(ordinary time.Duration, now time.Time) time.Duration {
	slowdown := float64(l.usualPercent()) / 100 * float64(l.momentaryPercent(now)) / 100
	return time.Duration(min(max(float64(ordinary), 0)*slowdown, float64(maxExpectedServiceTime)))
}

// loadMetrics show the load that the instance states.
type loadMetrics struct{ malformed, abandoned, expired prometheus.Counter }

func newLoadMetrics(registerer prometheus.Registerer, load *instanceLoad) (*loadMetrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	created := &loadMetrics{
		malformed: counter("winchhead_dataplane_instance_load_malformed_total",
			"Answers of the instance beside the node with a load that is malformed and was ignored."),
		abandoned: counter("winchhead_dataplane_abandoned_requests_total",
			"Requests whose callers left and whose slots stayed taken, as the instance may go on with them."),
		expired: counter("winchhead_dataplane_abandoned_requests_expired_total",
			"Abandoned requests whose slots were released because of their age, as no answer of the instance told."),
	}
	return created, registerAll(registerer, created.malformed, created.abandoned, created.expired,
		usageGauge("winchhead_dataplane_abandoned_slots", "Slots taken by requests whose callers left.", load.heldSlots),
		usageGauge("winchhead_dataplane_instance_slowdown_percent",
			"Processing time of the instance at the moment, as it states it, in percent of its usual time; 0: not known.",
			func() int { return load.momentaryPercent(time.Now()) }),
	)
}

// observeLoad applies the load that an answer states, and logs a malformed one.
func (p *Proxy) observeLoad(begun *loadedRun, request *message.Request, order hop.Order, status int, header http.Header, executed bool, sent time.Time) {
	err := p.load.observe(begun, status, header, executed, sent, time.Now())
	if err == nil {
		return
	}
	if entry, ok := p.lines.Take(false); ok {
		entry.WithError(err).WithField("request", request.ID).WithField("instance", order.Instance).Warn("malformed load in an answer ignored")
	}
}

// releaseUnanswered releases the slot of a request that got no answer, unless the instance may go on with it.
func (p *Proxy) releaseUnanswered(begun *loadedRun, order hop.Order, slot *queue.Slot, failure *client.Error) {
	if !isAbandoned(failure) || !p.load.hold(begun, slot, p.expectedWork(order), time.Now()) {
		slot.Release(false)
	}
}

// expectedWork returns how long the instance is expected to work on a request.
func (p *Proxy) expectedWork(order hop.Order) time.Duration {
	if expected := p.load.expectedServiceTime(order.MeanServiceTime, time.Now()); expected > 0 {
		return expected
	}
	return max(order.ServiceTime, order.MeanServiceTime, time.Millisecond)
}

// scaleToLoad replaces the expected service time of a ticket by the one that follows from the load of the instance.
func (p *Proxy) scaleToLoad(ticket queue.Ticket, request *message.Request, order hop.Order) queue.Ticket {
	expected := p.load.expectedServiceTime(order.MeanServiceTime, time.Now())
	if expected == 0 {
		return ticket
	}
	ticket.Expected = expected
	needed := min(time.Duration(hop.StartShare*float64(expected)), order.Remaining/2)
	ticket.LatestStart = request.Arrived.Add(order.Remaining - needed)
	return ticket
}

// usualPercent returns the slowdown that is reported to senders, apart from the one of the moment: if the instance
// states the latter, without it, and otherwise as this node measures it.
func (p *Proxy) usualPercent() int {
	if usual := p.load.usualPercent(); usual > 0 {
		return usual
	}
	return p.speed.hundredths()
}

// isAbandoned reports whether a request failed because its caller left or its deadline passed after it was sent:
// the instance may go on with it.
func isAbandoned(failure *client.Error) bool {
	return failure.Progress != client.NotSent && (errors.Is(failure, context.DeadlineExceeded) || errors.Is(failure, context.Canceled))
}
