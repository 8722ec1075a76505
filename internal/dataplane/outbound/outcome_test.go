package outbound

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// scriptedSidecars answers each delivery by the script; deliveries beyond the script succeed.
type scriptedSidecars struct {
	script []hop.Report
	made   int
}

func (n *scriptedSidecars) prune(time.Time) {}
func (n *scriptedSidecars) close()          {}

func (n *scriptedSidecars) requestTokens(context.Context, string, []byte) ([]byte, error) {
	return nil, errNoTokens
}

// send returns the next report of the script.
func (n *scriptedSidecars) send(context.Context, *message.Request, snapshot.Instance, hop.Order, func() bool) sendResult {
	report := hop.Report{Outcome: hop.Answered}
	if n.made < len(n.script) {
		report = n.script[n.made]
	}
	n.made++
	return resultOf(report)
}

// resultOf returns the result of a send with the given report.
func resultOf(report hop.Report) sendResult {
	if report.Outcome != hop.Answered {
		return sendResult{report: report, reported: true}
	}
	return sendResult{report: report, reported: true, answer: message.Whole(http.StatusOK, nil, []byte("done"))}
}

// fixedSource is a configuration that does not change.
type fixedSource struct{ current *snapshot.Snapshot }

func (s fixedSource) Current() *snapshot.Snapshot { return s.current }

// newTestProxy returns a Proxy that reaches all instances through the given sidecars.
func newTestProxy(c *qt.C, route snapshot.Route, instances []snapshot.Instance, sidecars sidecars) *Proxy {
	version := snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}}
	services := make([]snapshot.Service, 0, len(route.Targets))
	for _, target := range route.Targets {
		services = append(services, snapshot.Service{Name: target.Service})
	}
	lower := route // makes the configuration one that ranks its routes
	lower.Name, lower.Match.Host, lower.Priority = "lower", "lower.example", route.Priority+1
	built, err := snapshot.New(version, []snapshot.Route{route, lower}, services, nil)
	c.Assert(err, qt.IsNil)
	proxy, err := New(Options{
		Snapshots:  fixedSource{built.WithFleet(version, snapshot.Content{Instances: instances})},
		Mechanisms: mechanism.All(), Budget: budget.New(budget.Options{Ratio: 10, Slack: 1000, Window: 10 * time.Second}),
		Logger: logging.Discard(),
	})
	c.Assert(err, qt.IsNil)
	proxy.sidecars = sidecars
	if route.Priority == 0 {
		useUrgentRoutes(proxy)
	}
	return proxy
}

func instanceOf(service, name string) snapshot.Instance {
	return snapshot.Instance{Name: name, Service: service, Address: name, Slots: 4, State: snapshot.InstanceReady}
}

func testRoute(targets ...snapshot.WeightedService) snapshot.Route {
	return snapshot.Route{
		Name: "r", Match: snapshot.Match{Host: "h"}, Targets: targets, Timeout: time.Minute,
		TargetLatency: time.Second, MaxAttempts: 3, RepeatMethods: []string{http.MethodGet},
	}
}

func testRequest(method string) *message.Request {
	return &message.Request{ID: "q", Method: method, Target: "/", Path: "/", Host: "h", Header: http.Header{}, Arrived: time.Now()}
}

// TestNotRunOnlyIfProven: over any sequence of deliveries, the caller is told that its
// request did not run only if each delivery proves it.
func TestNotRunOnlyIfProven(t *testing.T) {
	endings := []hop.Report{
		{Outcome: hop.Refused, Reason: hop.ReasonOverloaded, RetryAfter: time.Second},
		{Outcome: hop.Refused, Reason: hop.ReasonDraining},
		{Outcome: hop.Refused, Reason: hop.ReasonConnect},
		{Outcome: hop.Refused, Reason: hop.ReasonDeadline},
		{Outcome: hop.Rejected, Reason: hop.ReasonOverloaded},
		{Outcome: hop.Unknown, Reason: hop.ReasonBroken},
		{Outcome: hop.Unknown, Reason: hop.ReasonInvalid},
		{Outcome: hop.Unknown, Reason: hop.ReasonDeadline},
		{Outcome: "a later version's", Reason: "a later version's"},
	}
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom([]string{http.MethodGet, http.MethodPost}).Draw(t, "method")
		sidecars := &scriptedSidecars{script: rapid.SliceOfN(rapid.SampledFrom(endings), 1, 6).Draw(t, "deliveries")}
		count := rapid.IntRange(1, 6).Draw(t, "instances")
		var instances []snapshot.Instance
		for i := range count {
			instances = append(instances, instanceOf("s", string(rune('a'+i))))
		}
		proxy := newTestProxy(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), instances, sidecars)
		answer := proxy.Serve(context.Background(), testRequest(method))

		mayHaveRun := false
		for _, report := range sidecars.script[:min(sidecars.made, len(sidecars.script))] {
			proven := report.Outcome == hop.Refused || report.Outcome == hop.Rejected
			mayHaveRun = mayHaveRun || !proven
		}
		notRun := answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests
		if notRun && mayHaveRun {
			t.Fatalf("status %d says not run, but it may have run, after %d deliveries of %+v", answer.Status, sidecars.made, sidecars.script)
		}
		if mayHaveRun && method == http.MethodPost && sidecars.made > 1 {
			last := sidecars.script[min(sidecars.made, len(sidecars.script))-1]
			if last.Outcome == hop.Refused || last.Outcome == hop.Rejected || sidecars.made > len(sidecars.script) {
				t.Fatalf("repeated after it may have run: %+v", sidecars.script)
			}
		}
	})
}

// TestRequestStaysWithItsTarget: a request whose weighted target has no capacity is refused
// with a Retry-After header. It never goes to another target, whose instances do not count as
// candidates for it.
func TestRequestStaysWithItsTarget(t *testing.T) {
	for _, row := range []struct {
		name      string
		instances []snapshot.Instance
	}{
		{"target full", []snapshot.Instance{instanceOf("small", "a"), instanceOf("large", "b"), instanceOf("large", "c")}},
		{"target without instances", []snapshot.Instance{instanceOf("large", "b"), instanceOf("large", "c")}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			sidecars := &refusingSidecars{full: "a"}
			route := testRoute(snapshot.WeightedService{Service: "large", Weight: 3}, snapshot.WeightedService{Service: "small", Weight: 1})
			proxy := newTestProxy(c, route, row.instances, sidecars)
			const rounds = 100
			refused := 0
			for range 4 * rounds {
				answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
				if answer.Status == http.StatusServiceUnavailable {
					refused++
					c.Check(answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			}
			c.Check(refused, qt.Equals, rounds)
			c.Check(sidecars.servedLarge, qt.Equals, 3*rounds)
			for _, order := range sidecars.ordersToFull {
				c.Check(order.OnlyCandidate, qt.IsTrue)
			}
		})
	}
}

// refusingSidecars refuses the requests for one instance and serves all others.
type refusingSidecars struct {
	full         string
	servedLarge  int
	ordersToFull []hop.Order
}

func (n *refusingSidecars) prune(time.Time) {}
func (n *refusingSidecars) close()          {}

func (n *refusingSidecars) requestTokens(context.Context, string, []byte) ([]byte, error) {
	return nil, errNoTokens
}

// send refuses or serves the request depending on its instance.
func (n *refusingSidecars) send(_ context.Context, _ *message.Request, _ snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	if order.Instance == n.full {
		n.ordersToFull = append(n.ordersToFull, order)
		return resultOf(hop.Report{Outcome: hop.Refused, Reason: hop.ReasonOverloaded})
	}
	n.servedLarge++
	return resultOf(hop.Report{Outcome: hop.Answered})
}

// TestTriesAreBounded: a request is refused after a few instances had no capacity for it, or
// after some more that are gone or have reached their stated limits, which tells nothing about the capacity
// of others. Where admission by forecast is used, two instances without capacity are enough.
func TestTriesAreBounded(t *testing.T) {
	full, gone, limited := hop.ReasonOverloaded, hop.ReasonWrongInstance, hop.ReasonLimited
	for name, row := range map[string]struct {
		refusals       []hop.Reason
		made, forecast int
	}{
		"all full":             {[]hop.Reason{full, full, full, full, full, full, full, full, full}, 4, 2},
		"all gone":             {[]hop.Reason{gone, gone, gone, gone, gone, gone, gone, gone, gone}, 8, 8},
		"all limited":          {[]hop.Reason{limited, limited, limited, limited, limited, limited, limited, limited, limited}, 8, 8},
		"some gone, then full": {[]hop.Reason{gone, gone, full, gone, full, full, full, full, full}, 7, 5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for priority, made := range []int{row.forecast, row.made} { // priority 0 calls for admission by forecast
				sidecars := &scriptedSidecars{}
				var instances []snapshot.Instance
				for i, reason := range row.refusals {
					sidecars.script = append(sidecars.script, hop.Report{Outcome: hop.Refused, Reason: reason, RetryAfter: 30 * time.Millisecond})
					instances = append(instances, instanceOf("s", string(rune('a'+i))))
				}
				route := testRoute(snapshot.WeightedService{Service: "s", Weight: 1})
				route.Priority = priority
				proxy := newTestProxy(c, route, instances, sidecars)
				answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
				c.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable)
				c.Check(sidecars.made, qt.Equals, made)
			}
		})
	}
}
