package outbound

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// limitedSidecars refuses the requests for some instances by their limits and records all orders.
type limitedSidecars struct {
	refusingSidecars
	limited map[string]bool
	orders  []hop.Order
}

func (n *limitedSidecars) send(_ context.Context, _ *message.Request, _ snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	n.orders = append(n.orders, order)
	if n.limited[order.Instance] {
		return resultOf(hop.Report{Outcome: hop.Refused, Reason: hop.ReasonLimited, RetryAfter: 300 * time.Millisecond})
	}
	return resultOf(hop.Report{Outcome: hop.Answered})
}

// limitedProxy returns a proxy for the instances of a service, some of which refuse by their limits.
func limitedProxy(c *qt.C, names []string, limited map[string]bool) (*Proxy, *limitedSidecars) {
	sidecars := &limitedSidecars{limited: limited}
	var instances []snapshot.Instance
	for _, name := range names {
		instances = append(instances, instanceOf("s", name))
	}
	return newTestProxy(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), instances, sidecars), sidecars
}

func (p *Proxy) heard(name string, stated statement.Statement) {
	now := time.Now()
	p.options.Statements.Observe(snapshot.InstanceID{Name: name}, stated, now, now)
}

var limitOfFour = statement.Statement{Limit: statement.Limit{Stated: true, PerSecond: 4}}

// TestLimitedInstancesLeaveRoomElsewhere checks that requests are served by the one instance that has room,
// whichever others refuse them first by their limits, that these refusals use no repeats, and that an
// instance is not asked again right after one. Time stands still.
func TestLimitedInstancesLeaveRoomElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const requests = 10
		proxy, sidecars := limitedProxy(c, []string{"a", "b", "c", "d"}, map[string]bool{"a": true, "b": true, "c": true})
		for range requests {
			c.Check(proxy.Serve(context.Background(), testRequest(http.MethodPost)).Status, qt.Equals, http.StatusOK)
		}
		asked := make(map[string]int)
		for _, order := range sidecars.orders {
			c.Check(order.RepeatPercent, qt.Equals, 0)
			asked[order.Instance]++
		}
		c.Check(asked["d"], qt.Equals, requests)
		for _, limited := range []string{"a", "b", "c"} {
			c.Check(asked[limited] <= 1, qt.IsTrue, qt.Commentf("%s was asked again right after it refused", limited))
		}
	})
}

// TestAllInstancesLimited checks that the second request to a service whose instances have all just
// refused by their limits is refused without asking them, with the time at which they have room. Time
// stands still.
func TestAllInstancesLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		proxy, sidecars := limitedProxy(c, []string{"a", "b", "c"}, map[string]bool{"a": true, "b": true, "c": true})
		proxy.Serve(context.Background(), testRequest(http.MethodGet))
		c.Assert(sidecars.orders, qt.HasLen, 3)
		answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
		c.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Check(sidecars.orders, qt.HasLen, 3)
	})
}

// TestOrderTellsTheLimit checks that what this node has heard of an instance's limit travels with its
// requests, and that they wait for the limit only if no other instance may have room.
func TestOrderTellsTheLimit(t *testing.T) {
	c := qt.New(t)
	proxy, sidecars := limitedProxy(c, []string{"a", "b"}, nil)
	for range 20 {
		proxy.heard("a", limitOfFour) // the answers of these sidecars state nothing
		proxy.Serve(context.Background(), testRequest(http.MethodGet))
	}
	for _, order := range sidecars.orders {
		c.Check(order.StatedLimit.Stated, qt.Equals, order.Instance == "a")
		c.Check(order.MaxWait > 0, qt.Equals, order.Instance == "b")
	}
	proxy.heard("a", limitOfFour)
	proxy.heard("b", limitOfFour)
	sidecars.orders = nil
	proxy.Serve(context.Background(), testRequest(http.MethodGet))
	c.Check(sidecars.orders[0].MaxWait > 0, qt.IsTrue)
}

// TestLeavingInstanceGetsNoRequests checks that an instance which has stated that it leaves is no candidate,
// although the configuration lists it as ready, and that its restart is one again.
func TestLeavingInstanceGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	proxy, sidecars := limitedProxy(c, []string{"a", "b"}, nil)
	proxy.heard("a", statement.Statement{Leaving: true})
	for range 20 {
		c.Check(proxy.Serve(context.Background(), testRequest(http.MethodGet)).Status, qt.Equals, http.StatusOK)
	}
	for _, order := range sidecars.orders {
		c.Check(order.Instance, qt.Equals, "b")
		c.Check(order.OnlyCandidate, qt.IsTrue)
	}
	proxy.heard("b", statement.Statement{Leaving: true})
	answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
	c.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(proxy.options.Statements.IsLeaving(snapshot.InstanceID{Name: "a", StartedMillis: 7}), qt.IsFalse)
}
