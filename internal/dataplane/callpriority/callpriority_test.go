package callpriority_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
)

// parentLoad is the load of one route on an instance.
type parentLoad struct {
	route    string
	priority int
	rate     float64 // requests per second
	duration time.Duration
	// calls are the call routes of which a request makes one call on average.
	calls []string
}

// ownPriority is that of all call routes.
const ownPriority = 1

// share counts the calls whose priority was inferred as that of their parent.
type share struct{ right, all int }

func (s share) value() float64 { return float64(s.right) / float64(max(s.all, 1)) }

// replay plays loads in steps of a millisecond and returns how many calls got the right priority, by the
// route of their parent. Calls before skip are not counted.
func replay(tracker *callpriority.Tracker, loads []parentLoad, slots int, skip, span time.Duration, seed uint64) map[string]*share {
	type request struct {
		load *parentLoad
		run  *callpriority.Run
		ends time.Duration
	}
	const step = time.Millisecond
	random, start := rand.New(rand.NewPCG(seed, seed)), time.Unix(1000, 0)
	shares, running := make(map[string]*share), []request(nil)
	for i := range loads {
		shares[loads[i].route] = &share{}
	}
	for at := time.Duration(0); at < span; at += step {
		now := start.Add(at)
		for i := range loads {
			if load := &loads[i]; len(running) < slots && random.Float64() < load.rate*step.Seconds() {
				duration := time.Duration((0.5 + random.Float64()) * float64(load.duration))
				running = append(running, request{load, tracker.Begin(load.route, load.priority, now), at + duration})
			}
		}
		remaining := running[:0]
		for _, each := range running {
			for _, route := range each.load.calls {
				if random.Float64() >= float64(step)/float64(each.load.duration) {
					continue
				}
				got := tracker.Assess(route, ownPriority, now)
				if at >= skip {
					counted := shares[each.load.route]
					counted.all++
					if got.Priority == min(ownPriority, each.load.priority) && got.IsCall {
						counted.right++
					}
				}
			}
			if each.ends > at {
				remaining = append(remaining, each)
				continue
			}
			each.run.End(now)
		}
		running = remaining
	}
	return shares
}

const (
	caller, other        = "script-fetch", "report-build"
	firstCall, otherCall = "compliance-check", "label-lookup"
)

// TestParentOfTwoRoutes guards against calls that keep the priority of their route, or get that of another
// request, when the instance runs two kinds of requests in any proportion and one of them makes calls.
func TestParentOfTwoRoutes(t *testing.T) {
	for _, mix := range []float64{0.05, 0.2, 0.5, 0.8, 0.95, 1} {
		for _, callerPriority := range []int{0, 2} {
			t.Run(fmt.Sprintf("%.0f percent with calls of priority %d", 100*mix, callerPriority), func(t *testing.T) {
				const rate = 40
				loads := []parentLoad{
					{caller, callerPriority, mix * rate, 90 * time.Millisecond, []string{firstCall}},
					{other, 2 - callerPriority, (1 - mix) * rate, 90 * time.Millisecond, nil},
				}
				got := replay(callpriority.New(), loads, 6, time.Minute, 4*time.Minute, 1)[caller]
				t.Logf("%d of %d calls", got.right, got.all)
				qt.Check(t, got.all > 100, qt.IsTrue)
				qt.Check(t, got.value() >= 0.95, qt.IsTrue, qt.Commentf("%.3f", got.value()))
			})
		}
	}
}

// TestSaturatedInstance is like TestParentOfTwoRoutes with all slots in use, so that the number of running
// requests says nothing.
func TestSaturatedInstance(t *testing.T) {
	for _, mix := range []float64{0.1, 0.5, 0.9, 1} {
		loads := []parentLoad{
			{caller, 0, mix * 120, 90 * time.Millisecond, []string{firstCall}},
			{other, 2, (1 - mix) * 120, 90 * time.Millisecond, nil},
		}
		got := replay(callpriority.New(), loads, 6, time.Minute, 4*time.Minute, 2)[caller]
		t.Logf("%.0f percent: %d of %d calls", 100*mix, got.right, got.all)
		qt.Check(t, got.value() >= 0.95, qt.IsTrue)
	}
}

// TestTwoCallRoutes guards against a mix-up of the parents of two call routes.
func TestTwoCallRoutes(t *testing.T) {
	loads := []parentLoad{
		{caller, 0, 20, 90 * time.Millisecond, []string{firstCall}},
		{other, 2, 20, 90 * time.Millisecond, []string{otherCall}},
	}
	got := replay(callpriority.New(), loads, 6, time.Minute, 4*time.Minute, 3)
	for route, counted := range got {
		t.Logf("%s: %d of %d calls", route, counted.right, counted.all)
		qt.Check(t, counted.value() >= 0.95, qt.IsTrue, qt.Commentf("%s", route))
	}
}

// TestTwoParentsOfOneCallRoute: where both routes make the same calls, the call of the more urgent one gets
// its priority at least while that one prevails.
func TestTwoParentsOfOneCallRoute(t *testing.T) {
	loads := []parentLoad{
		{caller, 0, 30, 90 * time.Millisecond, []string{firstCall}},
		{other, 2, 10, 90 * time.Millisecond, []string{firstCall}},
	}
	got := replay(callpriority.New(), loads, 6, time.Minute, 4*time.Minute, 4)[caller]
	t.Logf("%d of %d calls", got.right, got.all)
	qt.Check(t, got.value() >= 0.9, qt.IsTrue)
}

// TestStartedNode guards against a priority inferred from too little, and against a node that learns for
// too long after its start.
func TestStartedNode(t *testing.T) {
	tracker, now := callpriority.New(), time.Unix(1000, 0)
	tracker.Begin(caller, 0, now)
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		got := tracker.Assess(firstCall, ownPriority, now)
		if i < 29 {
			qt.Check(t, got, qt.Equals, callpriority.Assessment{Priority: ownPriority}, qt.Commentf("call %d", i))
		}
	}
	all, right := 0, 0
	for seed := range uint64(20) {
		loads := []parentLoad{
			{caller, 0, 20, 90 * time.Millisecond, []string{firstCall}},
			{other, 2, 20, 90 * time.Millisecond, nil},
		}
		got := replay(callpriority.New(), loads, 6, 3*time.Second, 6*time.Second, seed)[caller]
		all, right = all+got.all, right+got.right
	}
	t.Logf("%d of %d calls in the fourth to sixth second", right, all)
	qt.Check(t, share{right, all}.value() >= 0.9, qt.IsTrue)
}

// TestUnrelatedRequests guards against requests of external callers that count as calls of the instance: they
// arrive whatever it runs.
func TestUnrelatedRequests(t *testing.T) {
	tracker, now := callpriority.New(), time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(5, 5))
	raised, all := 0, 0
	for range 4000 {
		run := tracker.Begin(caller, 0, now)
		busy := now.Add(time.Duration(random.ExpFloat64() * float64(50*time.Millisecond)))
		idle := busy.Add(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond)))
		ended := false
		for now.Before(idle) {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(80*time.Millisecond)))
			if !ended && now.After(busy) {
				run.End(busy)
				ended = true
			}
			if got := tracker.Assess(firstCall, ownPriority, now); got.IsCall || got.Priority < ownPriority {
				raised++
			}
			all++
		}
		if !ended {
			run.End(now)
		}
	}
	t.Logf("%d of %d requests count as calls", raised, all)
	qt.Check(t, share{raised, all}.value() <= 0.1, qt.IsTrue)
}

// TestStateIsBounded guards against state that grows with the names of routes, runs that are lost, and a
// priority below that of the call's own route.
func TestStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := callpriority.New(), time.Unix(1000, 0)
		var runs []*callpriority.Run
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 50).Draw(t, "ms")) * time.Millisecond)
			route := fmt.Sprint(rapid.IntRange(0, 200).Draw(t, "route"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				runs = append(runs, tracker.Begin(route, rapid.IntRange(-1, 3).Draw(t, "priority"), now))
			case 1:
				if len(runs) > 0 {
					runs[0].End(now)
					runs = runs[1:]
				}
			default:
				own := rapid.IntRange(0, 3).Draw(t, "own")
				if got := tracker.Assess(route, own, now); got.Priority > own {
					t.Fatalf("priority %d of a route with %d", got.Priority, own)
				}
			}
		}
		if parents, calls, links := tracker.Size(); parents > 64 || calls > 64 || links > 64*64 {
			t.Fatalf("%d parents, %d calls, %d links", parents, calls, links)
		}
	})
}
