package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// useUrgentRoutes makes a proxy have seen requests of priority 0, as it would in a deployment with such callers.
func useUrgentRoutes(proxy *Proxy) {
	for range 10 * minCountedRequests {
		proxy.priorityUse.arrived(0, time.Now())
	}
}

// TestFewRequestsOfPriorityZeroRankNothing guards against deployments that are served by other rules because
// routes that hardly anybody uses have no priority, which reads as 0.
func TestFewRequestsOfPriorityZeroRankNothing(t *testing.T) {
	c := qt.New(t)
	ranked := rankedSource(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), 0, 1).current
	now := time.Unix(1000, 0)
	count := func(use *priorityUse, requests, each int) {
		for i := range requests {
			now = now.Add(50 * time.Millisecond)
			priority := 1
			if i%each == 0 {
				priority = 0
			}
			use.arrived(priority, now)
		}
	}
	rare, common, first := new(priorityUse), new(priorityUse), new(priorityUse)
	count(rare, 2000, 25)
	c.Check(rare.ranks(ranked), qt.IsFalse)
	count(common, 2000, 5)
	c.Check(common.ranks(ranked), qt.IsTrue)
	count(first, 10, 1)
	c.Check(first.ranks(ranked), qt.IsFalse, qt.Commentf("ten requests show nothing"))
	unranked, err := snapshot.New(snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}},
		[]snapshot.Route{testRoute(snapshot.WeightedService{Service: "s", Weight: 1})}, []snapshot.Service{{Name: "s"}}, nil)
	c.Assert(err, qt.IsNil)
	c.Check(common.ranks(unranked), qt.IsFalse, qt.Commentf("all routes have priority 0"))
	count(common, 6000, 25)
	c.Check(common.ranks(ranked), qt.IsFalse, qt.Commentf("such callers have gone"))
}
