package retryafter_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
)

func TestWait(t *testing.T) {
	const long = 6 * time.Second
	for name, row := range map[string]struct {
		refusal retryafter.Refusal
		want    time.Duration
	}{
		"full, no pressure, nothing known":      {retryafter.Refusal{Cause: retryafter.Full, Left: 2 * time.Second}, retryafter.Min},
		"full, no pressure":                     {retryafter.Refusal{Cause: retryafter.Full, NextSlot: 100 * time.Millisecond, Left: 2 * time.Second}, 100 * time.Millisecond},
		"full, medium pressure":                 {retryafter.Refusal{Cause: retryafter.Full, NextSlot: 100 * time.Millisecond, Left: 2 * time.Second, Pressure: retryafter.SaturatedPressure / 2}, 300 * time.Millisecond},
		"full, high pressure":                   {retryafter.Refusal{Cause: retryafter.Full, NextSlot: 100 * time.Millisecond, Left: 2 * time.Second, Pressure: 0.9}, 500 * time.Millisecond},
		"full, high pressure, long time left":   {retryafter.Refusal{Cause: retryafter.Full, NextSlot: 100 * time.Millisecond, Left: time.Hour, Pressure: 0.9}, retryafter.Max},
		"full, high pressure, little time left": {retryafter.Refusal{Cause: retryafter.Full, NextSlot: 100 * time.Millisecond, Left: 200 * time.Millisecond, Pressure: 0.9}, 100 * time.Millisecond},
		"full, slot far away":                   {retryafter.Refusal{Cause: retryafter.Full, NextSlot: time.Hour, Left: 2 * time.Second}, retryafter.Max},
		"full, little pressure":                 {retryafter.Refusal{Cause: retryafter.Full, NextSlot: 80 * time.Millisecond, Left: long}, 80 * time.Millisecond},
		"full, next slot not known":             {retryafter.Refusal{Cause: retryafter.Full, Left: long}, retryafter.Min},
		"full, saturated":                       {retryafter.Refusal{Cause: retryafter.Full, Left: long, Pressure: 0.5}, 1500 * time.Millisecond},
		"full, saturated, little left":          {retryafter.Refusal{Cause: retryafter.Full, Left: 800 * time.Millisecond, Pressure: 1}, 200 * time.Millisecond},
		"full, slot in a long time":             {retryafter.Refusal{Cause: retryafter.Full, NextSlot: time.Minute, Left: long}, retryafter.Max},
		"rejected by half":                      {retryafter.Refusal{Cause: retryafter.Rejected, NextSlot: time.Second, Left: long, Pressure: 0.55}, retryafter.Min},
		"rejected by nearly all":                {retryafter.Refusal{Cause: retryafter.Rejected, Left: long, Pressure: 0.95}, 1500 * time.Millisecond},
		"no instance":                           {retryafter.Refusal{Cause: retryafter.NoInstance, Left: long, Pressure: 1}, time.Second},
		"rejected, caller gives up now":         {retryafter.Refusal{Cause: retryafter.Rejected, Pressure: 1}, retryafter.Min},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, row.refusal.Wait(), qt.Equals, row.want)
		})
	}
}

// The load of a service whose instances reject a share of all requests by chance, with room for all:
// callers with two retries send requests that take about 0.4 s and should be answered within 1 s.
const (
	perSecond   = 1000
	target      = time.Second
	callerTime  = 6 * time.Second
	retries     = 2
	repeatShare = 0.2 // of the requests may be sent to a second instance
	period      = 10 * time.Second
	halfLife    = time.Second
)

// rejectingService simulates that load in virtual time and returns the share of the requests that are
// answered within the target.
func rejectingService(rejected float64, wait func(left time.Duration, pressure float64) time.Duration) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var queue attempts
	for at := time.Duration(0); at < period; at += time.Second / perSecond {
		heap.Push(&queue, attempt{at: at, first: at})
	}
	total, inTime, budget := queue.Len(), 0, 0.0
	refused, ended, countedAt := 0.0, 0.0, time.Duration(0)
	for queue.Len() > 0 {
		next := heap.Pop(&queue).(attempt)
		budget = min(budget+repeatShare, 100)
		served := random.Float64() >= rejected
		if !served && budget >= 1 {
			budget--
			served = random.Float64() >= rejected
		}
		if next.retries == 0 {
			decay := math.Exp2(-float64(next.at-countedAt) / float64(halfLife))
			refused, ended, countedAt = refused*decay, ended*decay+1, next.at
			if !served {
				refused++
			}
		}
		latency := next.at - next.first + time.Duration((0.25+0.3*random.Float64())*float64(time.Second))
		if served && latency <= target {
			inTime++
		}
		if !served && next.retries < retries {
			left := callerTime - (next.at - next.first)
			returns := min(wait(left, refused/(ended+1)), left/3)
			heap.Push(&queue, attempt{at: next.at + returns, first: next.first, retries: next.retries + 1})
		}
	}
	return float64(inTime) / float64(total)
}

type attempt struct {
	at, first time.Duration
	retries   int
}

type attempts []attempt

func (a attempts) Len() int           { return len(a) }
func (a attempts) Less(i, j int) bool { return a[i].at < a[j].at }
func (a attempts) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *attempts) Push(x any)        { *a = append(*a, x.(attempt)) }
func (a *attempts) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// TestRejectingServiceWithRoom guards against callers that are sent away past their target although
// the service would accept their next attempt: 55 of 100 requests are rejected by chance. Taken for a
// full service, most callers come back too late.
func TestRejectingServiceWithRoom(t *testing.T) {
	const rejected, wanted = 0.55, 0.90
	c := qt.New(t)
	share := func(cause retryafter.Cause) float64 {
		return rejectingService(rejected, func(left time.Duration, pressure float64) time.Duration {
			return retryafter.Refusal{Cause: cause, Left: left, Pressure: pressure}.Wait()
		})
	}
	byCause, asFull := share(retryafter.Rejected), share(retryafter.Full)
	c.Logf("in time: %.3f, and %.3f if the service is taken for full", byCause, asFull)
	c.Check(byCause >= wanted, qt.IsTrue)
	c.Check(asFull < byCause, qt.IsTrue)
}
