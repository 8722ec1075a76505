package queue_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// vaultLoad is the load of one kind of request on each instance of a service.
type vaultLoad struct {
	priority int
	rate     float64 // requests per second and instance
	service  time.Duration
	target   time.Duration
	allowed  time.Duration // until the response is worth nothing
	maxWait  time.Duration
}

const (
	vaultSlots     = 6
	vaultInstances = 6
	vaultSpan      = 20 * time.Second
	vaultTries     = 4
	// vaultWarmup is when the reads have filled all slots and figures are first counted.
	vaultWarmup = 3 * time.Second
	// vaultCalm is how long reads go on after the last call and upload.
	vaultCalm = 5 * time.Second
)

// The reads ask for twice the slots that there are. Calls and uploads ask for 0.7 and 1.2 of 6 slots.
var (
	vaultReads   = vaultLoad{priority: 2, rate: 2 * vaultSlots / 0.36, service: 360 * time.Millisecond, target: 2500 * time.Millisecond, allowed: 6 * time.Second, maxWait: 1460 * time.Millisecond}
	vaultUploads = vaultLoad{priority: 1, rate: 11, service: 110 * time.Millisecond, target: 800 * time.Millisecond, allowed: 3 * time.Second, maxWait: 475 * time.Millisecond}
	vaultCalls   = vaultLoad{priority: 0, rate: 33, service: 22 * time.Millisecond, target: 100 * time.Millisecond, allowed: 250 * time.Millisecond, maxWait: 230 * time.Millisecond}
)

// vaultResult counts the requests of one kind.
type vaultResult struct{ sent, served, inTime atomic.Int64 }

func (r *vaultResult) servedShare() float64 { return float64(r.served.Load()) / float64(r.sent.Load()) }
func (r *vaultResult) timelyShare() float64 { return float64(r.inTime.Load()) / float64(r.sent.Load()) }

// vault is a service whose instances get requests at random times in virtual time.
type vault struct {
	queues []*queue.Queue
	// removed is set while the first third of the instances gets no requests.
	removed atomic.Bool
	// longestWithoutRead is the longest time that any instance ran no read.
	longestWithoutRead time.Duration
	// samples counts how often an instance was looked at;
	// running and slots add up the slots in use and all slots, reserved those of the reserves.
	samples, running, slots, reserved int
}

// eligible returns the instances that get requests.
func (v *vault) eligible() []*queue.Queue {
	if v.removed.Load() {
		return v.queues[len(v.queues)/3:]
	}
	return v.queues
}

// send offers a request to an instance and, after a rejection, to others. The sender knows nothing of their
// load, which is the worst case.
func (v *vault) send(load vaultLoad, random *rand.Rand, result *vaultResult, counted bool) {
	arrived, service := time.Now(), time.Duration((0.5+random.Float64())*float64(load.service))
	seed := random.Uint64()
	if counted {
		result.sent.Add(1)
	}
	go func() {
		random := rand.New(rand.NewPCG(seed, seed))
		for range vaultTries {
			wanted := ticket(load.priority, load.maxWait)
			wanted.Expected = load.service * 7 / 10
			wanted.Length, wanted.LatestStart = wanted.Expected, arrived.Add(load.allowed-wanted.Expected)
			wanted.Due = arrived.Add(max(load.target*8/10-load.service*3/2, load.target/5))
			candidates := v.eligible()
			slot, refusal, _ := candidates[random.IntN(len(candidates))].Acquire(context.Background(), wanted)
			if refusal != queue.None {
				continue
			}
			time.Sleep(service)
			slot.Release(true)
			if counted && time.Since(arrived) <= load.allowed {
				result.served.Add(1)
			}
			if counted && time.Since(arrived) <= load.target {
				result.inTime.Add(1)
			}
			return
		}
	}()
}

// generate sends requests of one kind at random times until the end.
func (v *vault) generate(load vaultLoad, span time.Duration, seed uint64, result *vaultResult) {
	random := rand.New(rand.NewPCG(seed, seed))
	for started := time.Now(); time.Since(started) < span; {
		time.Sleep(time.Duration(random.ExpFloat64() / load.rate / vaultInstances * float64(time.Second)))
		v.send(load, random, result, time.Since(started) > vaultWarmup)
	}
}

// sample counts the slots in use until the end.
func (v *vault) sample() {
	const interval = 5 * time.Millisecond
	time.Sleep(vaultWarmup)
	lastRead := make(map[*queue.Queue]time.Time)
	for started := time.Now(); time.Since(started) < vaultSpan-vaultWarmup; time.Sleep(interval) {
		if v.removed.Load() {
			clear(lastRead)
		}
		for _, each := range v.eligible() {
			usage := each.Usage()
			v.samples++
			v.running += usage.Running
			v.slots += usage.Slots
			v.reserved += each.Reserved()
			if held, _ := each.HeldFrom(vaultReads.priority); held > 0 || lastRead[each].IsZero() {
				lastRead[each] = time.Now()
			}
			v.longestWithoutRead = max(v.longestWithoutRead, time.Since(lastRead[each]))
		}
	}
}

// vaultFigures is what one replay shows.
type vaultFigures struct {
	calls, uploads, reads vaultResult
	// inUse is the share of the slots in use, reserved the mean reserve, and reservedAfter the reserves of
	// all instances when no calls have arrived for a while.
	inUse, reserved float64
	reservedAfter   int
	// longestWithoutRead is the longest time that any instance ran no read.
	longestWithoutRead time.Duration
}

// replayVault plays the load in virtual time. With evacuation, a third of the instances get no requests for
// five seconds.
func replayVault(t *testing.T, evacuation bool, calls vaultLoad, configure func(*queue.Queue)) *vaultFigures {
	figures := &vaultFigures{}
	synctest.Test(t, func(*testing.T) {
		played := &vault{}
		for range vaultInstances {
			added := queue.New(vaultSlots)
			configure(added)
			played.queues = append(played.queues, added)
		}
		if evacuation { // lost and given back while the reads go on
			time.AfterFunc(6*time.Second, func() { played.removed.Store(true) })
			time.AfterFunc(11*time.Second, func() { played.removed.Store(false) })
		}
		go played.generate(calls, vaultSpan, 1, &figures.calls)
		go played.generate(vaultUploads, vaultSpan, 2, &figures.uploads)
		go played.generate(vaultReads, vaultSpan+vaultCalm, 3, &figures.reads)
		go played.sample()
		time.Sleep(vaultSpan + vaultCalm)
		for _, each := range played.queues {
			figures.reservedAfter += each.Reserved()
		}
		time.Sleep(2 * vaultReads.allowed) // until the last requests have ended
		synctest.Wait()
		figures.inUse = float64(played.running) / float64(played.slots)
		figures.longestWithoutRead = played.longestWithoutRead
		figures.reserved = float64(played.reserved) / float64(played.samples)
	})
	return figures
}

// TestReserveEndsWithoutARelease guards against a request that waits for a slot that is no longer reserved,
// because no other request ends meanwhile.
func TestReserveEndsWithoutARelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(2)
		q.ReserveFixed(1)
		take(c, q).Release(true)
		time.Sleep(200 * time.Millisecond)
		take(c, q).Release(true)
		session, refusal, _ := q.Acquire(context.Background(), ticket(2, time.Minute))
		c.Assert(refusal, qt.Equals, queue.None)
		started := time.Now()
		slot, refusal, _ := q.Acquire(context.Background(), ticket(2, time.Minute))
		c.Assert(refusal, qt.Equals, queue.None)
		waited := time.Since(started)
		c.Check(waited > 0 && waited < 4*time.Second, qt.IsTrue, qt.Commentf("%s", waited))
		slot.Release(true)
		session.Release(true)
	})
}

// TestReserveForCalls guards against calls without a slot while reads at twice the capacity hold all slots,
// also while a third of the instances is evacuated, and against a reserve that wastes slots, leaves the reads
// without any, or outlasts the calls. The ways to size the reserve are compared.
func TestReserveForCalls(t *testing.T) {
	impatient := vaultCalls
	impatient.priority = 1
	impatient.maxWait = vaultCalls.target*8/10 - vaultCalls.service*3/2 // as requests that are no calls wait
	variants := []struct {
		name      string
		calls     vaultLoad
		configure func(*queue.Queue)
		kept      bool
	}{
		{"as before", impatient, reserveNothing, false},
		{"long wait, no reserve", vaultCalls, reserveNothing, false},
		{"feedback, bounded idle slots", vaultCalls, (*queue.Queue).ReserveByPriority, true},
		{"bounded idle slots", vaultCalls, (*queue.Queue).ReserveIdleBound, false},
		{"feedback alone", vaultCalls, (*queue.Queue).ReserveByFeedback, false},
		{"mean", vaultCalls, func(q *queue.Queue) { q.ReserveMeanPlus(0) }, false},
		{"mean plus deviation", vaultCalls, func(q *queue.Queue) { q.ReserveMeanPlus(1) }, false},
	}
	for _, evacuation := range []bool{false, true} {
		for _, variant := range variants {
			figures := replayVault(t, evacuation, variant.calls, variant.configure)
			t.Logf("evacuation %-5v %-28s calls served %.4f, in time %.4f; uploads in time %.4f; reads served %.3f; slots in use %.3f, reserved %.2f; longest without a read %s",
				evacuation, variant.name, figures.calls.servedShare(), figures.calls.timelyShare(), figures.uploads.timelyShare(),
				figures.reads.servedShare(), figures.inUse, figures.reserved, figures.longestWithoutRead)
			if variant.kept {
				checkVault(qt.New(t), figures)
			}
		}
	}
}

func checkVault(c *qt.C, figures *vaultFigures) {
	c.Check(figures.calls.servedShare() >= 0.99, qt.IsTrue)
	c.Check(figures.uploads.timelyShare() >= 0.98, qt.IsTrue)
	c.Check(figures.inUse >= 0.95, qt.IsTrue)
	c.Check(figures.reserved > 0, qt.IsTrue)
	c.Check(figures.longestWithoutRead < vaultReads.service, qt.IsTrue)
	c.Check(figures.reservedAfter, qt.Equals, 0)
}

func reserveNothing(q *queue.Queue) { q.ReserveFixed(0) }

// TestNoReserveWithoutUrgentRequests guards against a reserve in deployments without routes of priority 0.
func TestNoReserveWithoutUrgentRequests(t *testing.T) {
	lessUrgent := vaultCalls
	lessUrgent.priority = 1
	with := replayVault(t, false, lessUrgent, (*queue.Queue).ReserveByPriority)
	without := replayVault(t, false, lessUrgent, reserveNothing)
	qt.Check(t, with.reserved, qt.Equals, 0.0)
	qt.Check(t, with.reads.servedShare(), qt.Equals, without.reads.servedShare())
}

// TestReserveIgnoresReturningRequests guards against a reserve that grows by rejections and outlasts the overload: the
// requests of callers that were rejected before are no further load.
func TestReserveIgnoresReturningRequests(t *testing.T) {
	reserved := func(returning int) (reserve int) {
		synctest.Test(t, func(*testing.T) {
			q := queue.New(vaultSlots)
			q.ReserveIdleBound()
			for range 200 {
				lower := ticket(0, time.Minute)
				lower.Priority = 1
				if slot, _, _ := q.Acquire(context.Background(), lower); slot != nil {
					slot.Release(false)
				}
				for i := range 1 + returning {
					wanted := ticket(0, time.Minute)
					wanted.Retried = i > 0
					if slot, _, _ := q.Acquire(context.Background(), wanted); slot != nil {
						time.AfterFunc(40*time.Millisecond, func() { slot.Release(true) })
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
			reserve = q.Reserved()
			time.Sleep(time.Minute)
		})
		return reserve
	}
	alone := reserved(0)
	qt.Check(t, alone > 0, qt.IsTrue)
	qt.Check(t, reserved(3), qt.Equals, alone)
}
