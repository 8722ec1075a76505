package inbound_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// rankedRoutes returns a route that takes the requests of deliver, and one of lower priority.
func rankedRoutes() []snapshot.Route {
	var routes []snapshot.Route
	for priority, host := range []string{"h.example", "other.example"} {
		routes = append(routes, snapshot.TypedRoute{
			Name: host, Host: host, PathPrefix: "/", TimeoutMillis: 10000, Priority: priority, MaxAttempts: 1,
			Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}},
		}.Compile())
	}
	return routes
}

// TestRunningRequestsAreParents guards against calls that do not get the priority of the requests that the
// instance runs, and against requests that count as running after their end.
func TestRunningRequestsAreParents(t *testing.T) {
	c := qt.New(t)
	const running, own = 2, 1
	started, end := make(chan struct{}), make(chan struct{})
	emulated := &instance.Instance{Name: "i-1", Work: func(string, <-chan struct{}) {
		started <- struct{}{}
		<-end
	}}
	calls := callpriority.New()
	proxy := newServedProxy(t, emulated, inbound.Options{Mechanisms: mechanism.All(), Calls: calls}, rankedRoutes()...)
	ended := make(chan inbound.Delivery, running)
	for range running {
		go func() {
			ended <- deliver(proxy, "parent", hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: time.Minute})
		}()
		<-started
	}
	var got callpriority.Assessment
	for range 40 { // until the parents of the calls count as known
		got = calls.Assess("call", own, time.Now())
	}
	c.Check(got, qt.Equals, callpriority.Assessment{Priority: 0, IsCall: true, Parent: "h.example"})
	close(end)
	for range running {
		c.Check((<-ended).Report.Outcome, qt.Equals, hop.Answered)
	}
	c.Check(calls.Assess("call", own, time.Now()), qt.Equals, callpriority.Assessment{Priority: own})
}
