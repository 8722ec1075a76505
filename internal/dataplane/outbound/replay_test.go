package outbound

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// The service of the replays, as docs/design/hard-load.md describes it.
const (
	replaySlots    = 6
	replayWork     = 90 * time.Millisecond
	replayTarget   = 400 * time.Millisecond
	replayDeadline = 3 * time.Second
	replayHop      = time.Millisecond
	replaySenders  = 8
	usualLoad      = 0.8 // of the capacity
	deadlineHeader = "Deadline"
	// heldAfter is the time from which a rejection counts as one of a request that was held.
	heldAfter = 50 * time.Millisecond
)

// phase is a load, as a share of the capacity, for a time.
type phase struct {
	load     float64
	duration time.Duration
}

// replayLoad is a load with its callers.
type replayLoad struct {
	instances int
	phases    []phase
	// rejected is the share of requests that instances reject at random.
	rejected float64
	// retries is how often a caller retries, immediate whether it ignores Retry-After.
	retries   int
	immediate bool
}

// replayedService delivers requests to queues instead of instances. It stands for the sidecars.
type replayedService struct {
	queues   map[string]*queue.Queue
	rejected float64
	// refusals counts the instances that were asked and did not run a request.
	refusals atomic.Int64
}

func (s *replayedService) prune(time.Time) {}
func (s *replayedService) close()          {}

func (s *replayedService) requestTokens(context.Context, string, []byte) ([]byte, error) {
	return nil, errNoTokens
}

// send queues the request for a slot and occupies it for the time of the work.
func (s *replayedService) send(ctx context.Context, _ *message.Request, _ snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	time.Sleep(replayHop)
	defer time.Sleep(replayHop)
	asked, q := time.Now(), s.queues[order.Instance]
	report := func(outcome hop.Outcome, reason hop.Reason) hop.Report {
		usage := q.Usage()
		return hop.Report{Outcome: outcome, Reason: reason, Running: usage.Running, Waiting: usage.Waiting, Slots: usage.Slots}
	}
	if rand.Float64() < s.rejected {
		s.refusals.Add(1)
		return resultOf(report(hop.Rejected, hop.ReasonRejected))
	}
	slot, refusal, wait := q.Acquire(ctx, replayTicket(order, asked))
	if refusal != queue.None {
		s.refusals.Add(1)
		refused := report(hop.Refused, hop.ReasonOverloaded)
		refused.RetryAfter, refused.Waited = wait, time.Since(asked)
		return resultOf(refused)
	}
	work := time.Duration((0.5 + rand.Float64()) * float64(replayWork))
	time.Sleep(work)
	slot.Release(true)
	if ctx.Err() != nil {
		return resultOf(report(hop.Unknown, hop.ReasonDeadline))
	}
	answered := report(hop.Answered, hop.ReasonNone)
	answered.Execution = work
	return resultOf(answered)
}

// replayTicket returns the ticket with which the sidecar of an instance queues a request that arrived at a time.
func replayTicket(order hop.Order, asked time.Time) queue.Ticket {
	return queue.Ticket{
		Priority: order.Priority, Value: queue.Value(order.ValueRank), Due: asked.Add(order.Due), MaxWait: order.MaxWait,
		LatestStart: asked.Add(order.Remaining - order.ServiceTime), Expected: order.ServiceTime, Length: order.ServiceTime,
		OnlyCandidate: order.OnlyCandidate, Forecast: order.Admission.Late, Retried: order.Admission.Retried, Elsewhere: order.Admission.Elsewhere,
	}
}

// result is what became of the callers of a replay.
type result struct {
	mutex                           sync.Mutex
	callers, served, inTime, failed int
	rejected, rejectedAgain, held   int // callers
	refusals                        int
	rejections                      []time.Duration
}

func (r *result) share(count int) float64 { return float64(count) / float64(r.callers) }

// medianToRejection returns the median time from a request to its rejection.
func (r *result) medianToRejection() time.Duration {
	if len(r.rejections) == 0 {
		return 0
	}
	slices.Sort(r.rejections)
	return r.rejections[len(r.rejections)/2]
}

// askedPerRejection returns how many instances refused requests for each rejection.
func (r *result) askedPerRejection() float64 {
	return float64(r.refusals) / float64(max(len(r.rejections), 1))
}

func (r *result) String() string {
	return fmt.Sprintf("served %.3f, in time %.3f, rejected %.3f, again %.3f, held in vain %.3f, failed %.3f, %v and %.1f instances to a rejection",
		r.share(r.served), r.share(r.inTime), r.share(r.rejected), r.share(r.rejectedAgain), r.share(r.held), r.share(r.failed),
		r.medianToRejection().Round(time.Millisecond), r.askedPerRejection())
}

// constantOvertaking bounds the backlog of late requests by a share of the time to their latest start.
type constantOvertaking float64

func (o constantOvertaking) Overtaking(admission.Class, time.Time) float64 { return float64(o) }

// replay plays a load in virtual time.
func replay(t *testing.T, load replayLoad, enabled mechanism.Set, overtaking queue.Overtaking) *result {
	got := &result{}
	service := &replayedService{queues: make(map[string]*queue.Queue), rejected: load.rejected}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var instances []snapshot.Instance
		for i := range load.instances {
			name := "i-" + strconv.Itoa(i)
			q := queue.New(replaySlots)
			if overtaking != nil {
				q.SetOvertaking(overtaking)
			}
			service.queues[name] = q
			instances = append(instances, snapshot.Instance{Name: name, Service: "s", Address: name, Slots: replaySlots, State: snapshot.InstanceReady})
		}
		version := snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}}
		route := snapshot.Route{
			Name: "r", Match: snapshot.Match{Host: "h"}, Targets: []snapshot.WeightedService{{Service: "s", Weight: 1}}, Timeout: replayDeadline,
			TargetLatency: replayTarget, MaxAttempts: 3, RepeatMethods: []string{http.MethodGet},
		}
		lower := route // the mechanism applies where routes are ranked
		lower.Name, lower.Match.Host, lower.Priority = "lower", "lower.example", 1
		built, err := snapshot.New(version, []snapshot.Route{route, lower}, []snapshot.Service{{Name: "s"}}, nil)
		c.Assert(err, qt.IsNil)
		var senders []*Proxy
		for range replaySenders {
			sender, err := New(Options{
				Names: message.Names{Deadline: deadlineHeader}, Snapshots: fixedSource{built.WithFleet(version, snapshot.Content{Instances: instances})},
				Mechanisms: enabled, Logger: logging.Discard(),
				Budget: budget.New(budget.Options{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}),
			})
			c.Assert(err, qt.IsNil)
			sender.sidecars = service
			useUrgentRoutes(sender)
			senders = append(senders, sender)
		}
		random := rand.New(rand.NewPCG(1, 2))
		var callers sync.WaitGroup
		for _, each := range load.phases {
			perSecond := each.load * float64(load.instances*replaySlots) / replayWork.Seconds()
			for end := time.Now().Add(each.duration); time.Now().Before(end); {
				time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				sender := senders[random.IntN(len(senders))]
				callers.Go(func() { got.call(sender, load) })
			}
		}
		callers.Wait()
		for _, sender := range senders {
			sender.Stop()
		}
	})
	got.refusals = int(service.refusals.Load())
	return got
}

// call sends the request of one caller, with its retries.
func (r *result) call(sender *Proxy, load replayLoad) {
	started, rejections, held, status := time.Now(), 0, false, 0
	for {
		left := replayDeadline - time.Since(started)
		sent := time.Now()
		answer := sender.Serve(context.Background(), &message.Request{
			ID: "q", Method: http.MethodGet, Target: "/", Path: "/", Host: "h", Arrived: sent,
			Header: http.Header{deadlineHeader: {strconv.FormatInt(left.Milliseconds(), 10)}},
		})
		if status = answer.Status; status != http.StatusServiceUnavailable {
			break
		}
		rejections++
		r.mutex.Lock()
		r.rejections = append(r.rejections, time.Since(sent))
		r.mutex.Unlock()
		held = held || time.Since(sent) > heldAfter
		if rejections > load.retries {
			break
		}
		if !load.immediate {
			seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			left = replayDeadline - time.Since(started)
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.callers++
	switch {
	case status == http.StatusOK:
		r.served++
		if time.Since(started) <= replayTarget {
			r.inTime++
		}
	case status != http.StatusServiceUnavailable:
		r.failed++
	}
	if rejections > 0 {
		r.rejected++
	}
	if rejections > 1 {
		r.rejectedAgain++
	}
	if held {
		r.held++
	}
}

// The loads of docs/design/hard-load.md. A burst is a multiple of the usual load, a peak and a demand are
// multiples of the capacity.
func replayLoads() map[string]replayLoad {
	around := func(load float64, duration time.Duration) []phase {
		return []phase{{usualLoad, 10 * time.Second}, {load, duration}, {usualLoad, 4 * time.Second}}
	}
	return map[string]replayLoad{
		"burst of 1.7 for 3 s":       {instances: 10, phases: around(1.7*usualLoad, 3*time.Second), retries: 2},
		"burst of 1.7 for 7 s":       {instances: 10, phases: around(1.7*usualLoad, 7*time.Second), retries: 2},
		"burst of 2.3 for 3 s":       {instances: 10, phases: around(2.3*usualLoad, 3*time.Second), retries: 2},
		"burst of 2.3 for 7 s":       {instances: 10, phases: around(2.3*usualLoad, 7*time.Second), retries: 2},
		"peak of 1.55":               {instances: 10, phases: around(1.55, 2*time.Second), retries: 2},
		"half rejected at random":    {instances: 10, phases: []phase{{usualLoad, 20 * time.Second}}, rejected: 0.5, retries: 2},
		"three immediate retries":    {instances: 10, phases: around(1.3, 5*time.Second), retries: 3, immediate: true},
		"demand of 1.3 for 30 s":     {instances: 10, phases: around(1.3, 30*time.Second), retries: 2},
		"burst of 1.7, 49 instances": {instances: 49, phases: around(1.7*usualLoad, 3*time.Second), retries: 2},
		"usual load":                 {instances: 10, phases: []phase{{usualLoad, 10 * time.Second}}, retries: 2},
	}
}

// servable returns the share of the requests of a load that the slots can serve by their deadlines if those that
// can be in time go first: what exceeds the slots waits for what later requests leave.
func (l replayLoad) servable() float64 {
	const step = 10 * time.Millisecond
	var late []float64 // work of each step that waits, in steps of all slots
	all, served, oldest := 0.0, 0.0, 0
	steps := func(load float64, duration time.Duration) {
		for range duration / step {
			late = append(late, max(load-1, 0))
			all, served = all+load, served+min(load, 1)
			oldest = max(oldest, len(late)-int(replayDeadline/step))
			for left := max(1-load, 0); left > 0 && oldest < len(late); {
				taken := min(left, late[oldest])
				left, late[oldest], served = left-taken, late[oldest]-taken, served+taken
				if late[oldest] <= 0 {
					oldest++
				}
			}
		}
	}
	for _, each := range l.phases {
		steps(each.load, each.duration)
	}
	steps(0, replayDeadline)
	return served / all
}

// TestAdmissionReplay guards against an overload in which requests are held and then not served, callers wait
// for a rejection, or responses that could be in time are not. It compares today's rule with the forecast and
// with a plain bound on the backlog of late requests, half of the time to their latest start. The bound serves a
// little more of a short burst; in a long one it holds several times as many in vain.
func TestAdmissionReplay(t *testing.T) {
	const (
		// noise is how much shares vary from run to run, as equally good instances are chosen at random.
		noise         = 0.02
		servableShare = 0.05 // below what the slots can serve
	)
	today := mechanism.All()
	today.Admission = false
	for name, load := range replayLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			before, forecast, bound := replay(t, load, today, nil), replay(t, load, mechanism.All(), nil), replay(t, load, mechanism.All(), constantOvertaking(replaySlots/2))
			c.Logf("%s\ntoday:    %v\nforecast: %v\nbound:    %v\nservable: %.3f", name, before, forecast, bound, load.servable())
			c.Check(forecast.share(forecast.inTime) >= before.share(before.inTime)-noise, qt.IsTrue)
			c.Check(forecast.share(forecast.served) >= before.share(before.served)-noise, qt.IsTrue)
			c.Check(forecast.share(forecast.held) <= before.share(before.held)+noise, qt.IsTrue)
			c.Check(forecast.share(forecast.failed) <= noise, qt.IsTrue)
			c.Check(forecast.medianToRejection() <= 10*time.Millisecond, qt.IsTrue)
			if load.rejected > 0 {
				return
			}
			c.Check(forecast.share(forecast.served) >= load.servable()-servableShare, qt.IsTrue)
			if forecast.share(len(forecast.rejections)) > noise {
				c.Check(forecast.askedPerRejection() <= 1.5, qt.IsTrue)
			}
			if load.phases[min(1, len(load.phases)-1)].duration >= 30*time.Second {
				c.Check(forecast.share(forecast.held) <= 0.5*bound.share(bound.held), qt.IsTrue)
			}
		})
	}
}
