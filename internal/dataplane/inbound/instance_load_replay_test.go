package inbound

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// The replayed load: lookups at instances of different speed that take 2.5 times as long for 0.6 s at a time,
// 15 percent of the time.
const (
	replayWork, replayTarget, replayDeadline = 83 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond
	replaySlow, replayPeriod                 = 600 * time.Millisecond, 4 * time.Second
	replaySlowPercent                        = 250
	replayInstances, replaySenders           = 24, 12
	replayWarmUp, replayTime                 = 5 * time.Second, 17 * time.Second
	replayAttempts                           = 2
)

// replayedInstance is the sidecar of an instance with the instance itself.
type replayedInstance struct {
	*Proxy
	entry snapshot.Instance
	// usual is the ratio of the instance's usual processing times to ordinary ones, offset shifts its slow phases.
	usual  float64
	offset time.Duration
}

func (i *replayedInstance) percentAt(now time.Time) int {
	if time.Duration(now.UnixNano()+int64(i.offset))%replayPeriod < replaySlow {
		return replaySlowPercent
	}
	return 100
}

// replay is one run of the load.
type replay struct {
	instances []*replayedInstance
	senders   []*balance.Balancer
	entries   []snapshot.Instance
	started   time.Time
	// slots returns how many slots an instance grants while it states a slowdown; nil: always all.
	slots func(all, percent int) int

	mutex   sync.Mutex
	results replayResults
}

// replayResults count requests after the warm-up, and the ratios of expected to true service times of those
// that arrived at an instance while it was slow.
type replayResults struct {
	requests, served, inTime, slow int
	latencies                      []time.Duration
	expected, smoothed             []float64
}

func newReplay(enabled mechanism.Set, random *rand.Rand) *replay {
	created := &replay{started: time.Now()}
	for n := range replayInstances {
		slots := 6 + random.IntN(4)
		entry := snapshot.Instance{Name: fmt.Sprint("i", n), Service: "s", Zone: "z", Address: fmt.Sprint("a", n), Slots: slots, State: snapshot.InstanceReady}
		options := Options{Names: message.Names{Load: "Load"}, Mechanisms: enabled}
		load, _ := newInstanceLoad(options) // without a registerer it does not fail
		created.instances = append(created.instances, &replayedInstance{
			Proxy: &Proxy{options: options, load: load, queue: queue.New(slots)}, entry: entry,
			usual: 0.55 * math.Pow(1.6/0.55, random.Float64()), offset: time.Duration(random.Int64N(int64(replayPeriod))),
		})
		created.entries = append(created.entries, entry)
	}
	for n := range replaySenders {
		created.senders = append(created.senders, balance.New(balance.Options{Zone: "z", Mechanisms: enabled, Random: rand.New(rand.NewPCG(7, uint64(n)))}))
	}
	return created
}

// rate returns the requests per second that keep the instances busy to the given degree.
func (r *replay) rate(utilization float64) float64 {
	capacity := 0.0
	for _, each := range r.instances {
		slowdown := 1 + replaySlow.Seconds()/replayPeriod.Seconds()*(replaySlowPercent/100.0-1)
		capacity += float64(each.entry.Slots) / (replayWork.Seconds() * each.usual * slowdown)
	}
	return utilization * capacity
}

func (r *replay) run(utilization float64, random *rand.Rand) replayResults {
	var running sync.WaitGroup
	for rate := r.rate(utilization); time.Since(r.started) < replayTime; {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		sender, noise := r.senders[random.IntN(len(r.senders))], 0.6+0.4*random.ExpFloat64()
		running.Go(func() { r.request(sender, noise) })
	}
	running.Wait()
	return r.results
}

// request sends one request to up to replayAttempts instances.
func (r *replay) request(sender *balance.Balancer, noise float64) {
	arrived, tried, served := time.Now(), map[string]bool{}, false
	for range replayAttempts {
		choice, found := sender.Pick(balance.Request{
			Route: "r", Target: replayTarget, Elapsed: time.Since(arrived), Instances: r.entries,
			Avoid: func(name string) bool { return tried[name] }, Now: time.Now(),
		})
		if !found {
			break
		}
		tried[choice.Instance.Name] = true
		at := r.instances[slices.IndexFunc(r.instances, func(i *replayedInstance) bool { return i.entry.Name == choice.Instance.Name })]
		if served = r.deliver(at, choice, arrived, noise); served {
			break
		}
	}
	if arrived.Sub(r.started) < replayWarmUp {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	latency := time.Since(arrived)
	r.results.requests++
	r.results.served += count(served)
	r.results.inTime += count(served && latency <= replayTarget)
	if served {
		r.results.latencies = append(r.results.latencies, latency)
	}
}

// deliver queues a request at an instance and reports whether it was served.
func (r *replay) deliver(at *replayedInstance, choice balance.Choice, arrived time.Time, noise float64) bool {
	request := &message.Request{Arrived: time.Now()}
	wait := max(time.Duration(0.8*float64(replayTarget)-1.5*float64(choice.ServiceTime)), replayTarget/5)
	order := hop.Order{
		Remaining: replayDeadline - time.Since(arrived), Due: wait, MaxWait: wait,
		ServiceTime: time.Duration(hop.StartShare * float64(choice.ServiceTime)), MeanServiceTime: choice.MeanServiceTime,
	}
	r.compareExpected(at, order)
	slot, refusal, _ := at.queue.Acquire(context.Background(), at.ticketFor(request, order))
	if refusal != queue.None {
		choice.Done(balance.Busy, r.report(at, hop.Refused, 0), 0, time.Now())
		return false
	}
	sent, percent := time.Now(), at.percentAt(time.Now())
	begun, end := at.load.begin(sent, func() {})
	time.Sleep(time.Duration(noise * at.usual * float64(percent) / 100 * float64(replayWork)))
	_ = at.load.observe(begun, http.StatusOK, http.Header{"Load": {fmt.Sprintf("1,0,9,%d", at.percentAt(time.Now()))}}, true, sent, time.Now())
	end()
	if r.slots != nil {
		at.queue.SetSlots(r.slots(at.entry.Slots, at.load.momentaryPercent(time.Now())))
	}
	slot.Release(true)
	execution := time.Since(sent)
	at.speed.record(execution, order.MeanServiceTime)
	at.load.recordExecution(begun, execution, order.MeanServiceTime)
	choice.Done(balance.Served, r.report(at, hop.Answered, execution), 1500, time.Now())
	if time.Since(r.started) > replayWarmUp && percent != 100 {
		r.mutex.Lock()
		r.results.slow++
		r.mutex.Unlock()
	}
	return true
}

// compareExpected records the expected service times at an instance that is slow now.
func (r *replay) compareExpected(at *replayedInstance, order hop.Order) {
	now := time.Now()
	if now.Sub(r.started) < replayWarmUp || at.percentAt(now) == 100 {
		return
	}
	truth := float64(replayWork) * at.usual * replaySlowPercent / 100
	smoothed := float64(order.MeanServiceTime) * float64(at.speed.hundredths()) / 100
	expected := float64(at.load.expectedServiceTime(order.MeanServiceTime, now))
	if expected == 0 {
		expected = smoothed
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.results.expected, r.results.smoothed = append(r.results.expected, expected/truth), append(r.results.smoothed, smoothed/truth)
}

func (r *replay) report(at *replayedInstance, outcome hop.Outcome, execution time.Duration) *hop.Report {
	usage := at.queue.Usage()
	return &hop.Report{
		Outcome: outcome, Running: usage.Running, Waiting: usage.Waiting, Slots: usage.Slots, Execution: execution,
		SlowdownPercent: at.usualPercent(), MomentaryPercent: at.load.momentaryPercent(time.Now()),
	}
}

// within returns the share of ratios that differ from 1 by no more than the tolerance.
func within(ratios []float64, tolerance float64) float64 {
	inside := 0
	for _, ratio := range ratios {
		inside += count(math.Abs(ratio-1) <= tolerance)
	}
	return float64(inside) / float64(len(ratios))
}

func median[T float64 | time.Duration](values []T) T { return quantile(values, 0.5) }

func quantile[T float64 | time.Duration](values []T, share float64) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(share*float64(len(sorted)-1))]
}

func (r replayResults) String() string {
	return fmt.Sprintf("%d requests: served %.4f, in time %.4f, latency %v p50, %v p99, at slow instances %.4f; expected/true in slow phases: median %.2f, within 20 %%: %.3f (smoothed %.2f, %.3f)",
		r.requests, float64(r.served)/float64(r.requests), float64(r.inTime)/float64(r.requests), median(r.latencies).Round(time.Millisecond), quantile(r.latencies, 0.99).Round(time.Millisecond),
		float64(r.slow)/float64(r.served), median(r.expected), within(r.expected, 0.2), median(r.smoothed), within(r.smoothed, 0.2))
}

// replayLoad replays the load with fixed seeds.
func replayLoad(t *testing.T, enabled mechanism.Set, slots func(all, percent int) int, utilization float64) (results replayResults) {
	synctest.Test(t, func(t *testing.T) {
		created := newReplay(enabled, rand.New(rand.NewPCG(1, 1)))
		created.slots = slots
		results = created.run(utilization, rand.New(rand.NewPCG(1, 2)))
	})
	return results
}

// TestReplaySlowInstances checks that service times expected at an instance that is slow for a moment are within
// 20 percent of the true ones, but for requests that arrive before its first answer tells, and that no fewer
// requests are in time than with the estimate that is smoothed over many requests.
func TestReplaySlowInstances(t *testing.T) {
	without := mechanism.All()
	without.LoadReports = false
	for name, utilization := range map[string]float64{"half used": 0.5, "busy": 0.95, "overloaded": 1.1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			before, now := replayLoad(t, without, nil, utilization), replayLoad(t, mechanism.All(), nil, utilization)
			t.Logf("without load reports: %v", before)
			t.Logf("with load reports:    %v", now)
			c.Check(within(now.expected, 0.2) > 0.85, qt.IsTrue)
			c.Check(within(before.smoothed, 0.2) < 0.1, qt.IsTrue)
			c.Check(math.Abs(median(now.expected)-1) < 0.05, qt.IsTrue)
			c.Check(now.inTime >= before.inTime, qt.IsTrue)
			c.Check(quantile(now.latencies, 0.99) < quantile(before.latencies, 0.99), qt.IsTrue)
		})
	}
}

// TestReplayFewerSlots compares granting fewer slots while an instance is slow with granting all: since the work
// takes as long however many requests run, fewer requests are served, and none more in time. It guards the
// decision to grant all slots.
func TestReplayFewerSlots(t *testing.T) {
	all := replayLoad(t, mechanism.All(), nil, 1.1)
	fewer := replayLoad(t, mechanism.All(), func(all, percent int) int { return all * 100 / max(percent, 100) }, 1.1)
	t.Logf("all slots:   %v", all)
	t.Logf("fewer slots: %v", fewer)
	qt.Check(t, all.inTime > fewer.inTime, qt.IsTrue)
	qt.Check(t, all.served > fewer.served, qt.IsTrue)
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
