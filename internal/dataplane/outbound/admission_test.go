package outbound

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// orderRecorder refuses all requests for lack of capacity and keeps their orders.
type orderRecorder struct {
	scriptedSidecars
	orders []hop.Order
}

func (r *orderRecorder) send(_ context.Context, _ *message.Request, _ snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	r.orders = append(r.orders, order)
	return resultOf(hop.Report{Outcome: hop.Refused, Reason: hop.ReasonOverloaded, RetryAfter: time.Second})
}

// TestAdmissionIsAskedFor guards against deployments whose requests wait by other rules than before although
// nothing calls for it, and against callers for whom many full instances are asked.
func TestAdmissionIsAskedFor(t *testing.T) {
	elsewhere, last := hop.Admission{Late: true, Elsewhere: true}, hop.Admission{Late: true}
	for name, row := range map[string]struct {
		change func(*Proxy, *snapshot.Route)
		want   []hop.Admission
	}{
		"priority 0":           {func(*Proxy, *snapshot.Route) {}, []hop.Admission{elsewhere, last}},
		"no route of priority": {func(_ *Proxy, route *snapshot.Route) { route.Priority = 1 }, make([]hop.Admission, maxFullRefusals)},
		"no target latency":    {func(_ *Proxy, route *snapshot.Route) { route.TargetLatency = 0 }, make([]hop.Admission, maxFullRefusals)},
		"switched off": {func(proxy *Proxy, _ *snapshot.Route) {
			if proxy != nil {
				proxy.options.Mechanisms.Admission = false
			}
		}, make([]hop.Admission, maxFullRefusals)},
		"the service is known to be full": {func(proxy *Proxy, _ *snapshot.Route) {
			for range 10 {
				if proxy != nil {
					proxy.services.Reported("s", 0, true, time.Now())
				}
			}
		}, []hop.Admission{last}},
		"the service is full for lower priorities": {func(proxy *Proxy, _ *snapshot.Route) {
			for range 10 {
				if proxy != nil {
					proxy.services.Reported("s", 1, true, time.Now())
				}
			}
		}, []hop.Admission{elsewhere, last}},
		"callers do not retry": {func(proxy *Proxy, _ *snapshot.Route) {
			if proxy != nil {
				for range 10 {
					proxy.callerRetries.Refused("r", time.Millisecond, time.Now().Add(-time.Second))
				}
			}
		}, make([]hop.Admission, maxFullRefusals)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			route := testRoute(snapshot.WeightedService{Service: "s", Weight: 1})
			row.change(nil, &route)
			var instances []snapshot.Instance
			for i := range 9 {
				instances = append(instances, instanceOf("s", string(rune('a'+i))))
			}
			sidecars := &orderRecorder{}
			proxy := newTestProxy(c, route, instances, sidecars)
			row.change(proxy, &route)
			answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
			c.Check(answer.Status, qt.Equals, http.StatusServiceUnavailable)
			var got []hop.Admission
			for _, order := range sidecars.orders {
				got = append(got, order.Admission)
			}
			c.Check(got, qt.DeepEquals, row.want)
		})
	}
}

// TestRetriedIsTold: the sidecar learns that the caller was rejected before, and the caller is never told to
// wait for more than a third of its time.
func TestRetriedIsTold(t *testing.T) {
	c := qt.New(t)
	sidecars := &orderRecorder{}
	proxy := newTestProxy(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), []snapshot.Instance{instanceOf("s", "a")}, sidecars)
	proxy.options.Names.Deadline = "Deadline"
	for _, left := range []time.Duration{3 * time.Second, 2 * time.Second} {
		request := testRequest(http.MethodGet)
		request.Header["Deadline"] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
		wait, err := strconv.ParseFloat(proxy.Serve(context.Background(), request).Header.Get(headerRetryAfter), 64)
		c.Assert(err, qt.IsNil)
		c.Check(wait <= left.Seconds()/3, qt.IsTrue)
	}
	c.Check(sidecars.orders[0].Admission, qt.Equals, hop.Admission{Late: true})
	c.Check(sidecars.orders[1].Admission, qt.Equals, hop.Admission{Late: true, Retried: true})
}
