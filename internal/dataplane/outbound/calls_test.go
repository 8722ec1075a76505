package outbound

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// orderSidecars serve all requests and keep the last order.
type orderSidecars struct {
	scriptedSidecars
	order hop.Order
}

func (s *orderSidecars) send(_ context.Context, _ *message.Request, _ snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	s.order = order
	return resultOf(hop.Report{Outcome: hop.Answered})
}

// TestCallOrder guards against calls that are sent with the priority of their route although they are made for
// a request of higher priority, or that give up a slot earlier than their deadline requires, and against other
// requests that are treated as calls.
func TestCallOrder(t *testing.T) {
	const callPriority = 1
	rows := map[string]struct {
		lowestPriority int // of the routes
		configure      func(*Proxy)
		isCall         bool
	}{
		"call":                       {0, func(*Proxy) {}, true},
		"external callers":           {0, func(p *Proxy) { p.externalRoutes.add("r") }, false},
		"switched off":               {0, func(p *Proxy) { p.options.Mechanisms.CallPriority = false }, false},
		"no node tracker":            {0, func(p *Proxy) { p.options.Calls = nil }, false},
		"no routes of priority zero": {callPriority, func(*Proxy) {}, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				sidecars, calls := &orderSidecars{}, callpriority.New()
				route := testRoute(snapshot.WeightedService{Service: "s", Weight: 1})
				proxy := newTestProxy(c, route, nil, sidecars)
				proxy.options.Snapshots = rankedSource(c, route, callPriority, row.lowestPriority)
				proxy.options.Calls = calls
				row.configure(proxy)
				for range 50 { // the instance makes a call while it runs a request
					parent := calls.Begin("parent", 0, time.Now())
					time.Sleep(10 * time.Millisecond)
					c.Assert(proxy.Serve(context.Background(), testRequest(http.MethodGet)).Status, qt.Equals, http.StatusOK)
					parent.End(time.Now())
					time.Sleep(20 * time.Millisecond)
				}
				got := sidecars.order
				want := callPriority
				if row.isCall {
					want = 0
				}
				c.Check(got.Priority, qt.Equals, want)
				if row.isCall { // not held back as one that can only be late, nor taken for a retry
					c.Check(got.Admission, qt.Equals, hop.Admission{})
					c.Check(queue.Value(got.ValueRank), qt.Equals, queue.ValueFull)
				}
				c.Check(got.MaxWait == got.Remaining-got.ServiceTime, qt.Equals, row.isCall, qt.Commentf("%+v", got))
				byForecast := !row.isCall && row.lowestPriority == 0 // which ends the wait before MaxWait
				c.Check(got.Admission.Late, qt.Equals, byForecast, qt.Commentf("%+v", got))
			})
		})
	}
}

// rankedSource returns a configuration with the route at a priority and a second route at another.
func rankedSource(c *qt.C, route snapshot.Route, priority, other int) fixedSource {
	second := route
	second.Name, second.Match.Host = "second", "second.example"
	route.Priority, second.Priority = priority, other
	version := snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}}
	built, err := snapshot.New(version, []snapshot.Route{route, second}, []snapshot.Service{{Name: "s"}}, nil)
	c.Assert(err, qt.IsNil)
	return fixedSource{built.WithFleet(version, snapshot.Content{Instances: []snapshot.Instance{instanceOf("s", "a"), instanceOf("s", "b")}})}
}

// TestCallWait checks how long a call and another request may wait.
func TestCallWait(t *testing.T) {
	call := callpriority.Assessment{IsCall: true}
	qt.Check(t, callWait(call, 50*ms, 250*ms, 20*ms), qt.Equals, 230*ms)
	qt.Check(t, callWait(call, 50*ms, 10*ms, 20*ms), qt.Equals, time.Duration(0))
	qt.Check(t, callWait(callpriority.Assessment{}, 50*ms, 250*ms, 20*ms), qt.Equals, 50*ms)
}
