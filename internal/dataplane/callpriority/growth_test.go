package callpriority_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
)

// fleetRoutes are the parent routes of an instance, whatever the number of nodes that send their requests.
const fleetRoutes = 4

// trackFleet replays ten seconds of an instance whose requests come from a number of nodes in turn, 50 a second
// in all, each with one call.
func trackFleet(nodes int) *callpriority.Tracker {
	tracker, random, start := callpriority.New(), rand.New(rand.NewPCG(1, 1)), time.Unix(1000, 0)
	for i := range 500 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		sender := random.IntN(nodes)
		run := tracker.Begin(fmt.Sprint("route-", sender%fleetRoutes), sender%2, now)
		tracker.Assess("call", ownPriority, now.Add(5*time.Millisecond))
		run.End(now.Add(10 * time.Millisecond))
	}
	return tracker
}

// TestStateDoesNotGrowWithNodes guards against state for each node that sends requests: it is bounded by routes.
func TestStateDoesNotGrowWithNodes(t *testing.T) {
	for _, nodes := range []int{100, 1000} {
		parents, calls, links := trackFleet(nodes).Size()
		t.Logf("%d nodes: %d parent routes, %d call routes, %d links", nodes, parents, calls, links)
		qt.Check(t, []int{parents, calls, links}, qt.DeepEquals, []int{fleetRoutes, 1, fleetRoutes})
	}
}

// BenchmarkAssess measures a call and its parent: what a request costs.
func BenchmarkAssess(b *testing.B) {
	tracker, now := trackFleet(1000), time.Unix(2000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		run := tracker.Begin("route-1", 0, now)
		tracker.Assess("call", ownPriority, now)
		run.End(now)
	}
}
