package outbound

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// recordingSidecars answers the first deliveries by the script and records the orders.
type recordingSidecars struct {
	scriptedSidecars
	orders []hop.Order
}

func (n *recordingSidecars) send(ctx context.Context, request *message.Request, instance snapshot.Instance, order hop.Order, _ func() bool) sendResult {
	n.orders = append(n.orders, order)
	return n.scriptedSidecars.send(ctx, request, instance, order, nil)
}

// newSuspectProxy returns a Proxy for a service with many instances.
func newSuspectProxy(c *qt.C, script ...hop.Report) (*Proxy, *recordingSidecars) {
	var instances []snapshot.Instance
	for i := range 10 {
		instances = append(instances, instanceOf("s", fmt.Sprintf("10.0.0.%d:80", i)))
	}
	sidecars := &recordingSidecars{scriptedSidecars: scriptedSidecars{script: script}}
	return newTestProxy(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), instances, sidecars), sidecars
}

func inProgressOf(request *message.Request) []suspects.InProgress {
	return []suspects.InProgress{{Fingerprint: suspects.NewFingerprint(request.Method, request.Host, request.Target, request.Body)}}
}

// TestQuarantinedRequestIsRefused: a request that crashes instances is refused without being
// sent, with a Retry-After header. That tells nothing about the capacity for others, which must
// not be asked to retry later because of it.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	proxy, sidecars := newSuspectProxy(c)
	request := testRequest(http.MethodGet)
	proxy.options.Suspects.Crashed("i", inProgressOf(request))
	probe := inProgressOf(request)
	probe[0].Probe = true
	proxy.options.Suspects.Crashed("j", probe)
	for range 20 {
		answer := proxy.Serve(t.Context(), testRequest(http.MethodGet))
		c.Assert(answer.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(string(answer.Body), qt.Contains, "not run")
		seconds, err := strconv.Atoi(answer.Header.Get(headerRetryAfter))
		c.Assert(err, qt.IsNil)
		c.Check(seconds > 1 && seconds <= int(suspects.ProbeAgainAfter.Seconds()), qt.IsTrue, qt.Commentf("%d s", seconds))
	}
	c.Check(sidecars.orders, qt.HasLen, 0)
	c.Check(proxy.callerRetries.Pressure("r", time.Now()), qt.Equals, 0.0)
	other := testRequest(http.MethodGet)
	other.Target = "/other"
	c.Check(proxy.Serve(t.Context(), other).Status, qt.Equals, http.StatusOK)
}

// TestSuspectsAreProbedAtOneInstance: all nodes send a suspected request to the same instance,
// to the next one only if that cannot be reached, and never to a second one because the first
// is busy with it or with another.
func TestSuspectsAreProbedAtOneInstance(t *testing.T) {
	c := qt.New(t)
	refused := func(reason hop.Reason) hop.Report { return hop.Report{Outcome: hop.Refused, Reason: reason} }
	crashed := hop.Report{Outcome: hop.Unknown, Reason: hop.ReasonCrashed}
	at := func(known bool, script ...hop.Report) (names []string, suspected []bool) {
		proxy, sidecars := newSuspectProxy(c, script...)
		request := testRequest(http.MethodGet)
		if known {
			proxy.options.Suspects.Crashed("i", inProgressOf(request))
		}
		proxy.Serve(t.Context(), request)
		for _, order := range sidecars.orders {
			names, suspected = append(names, order.Instance), append(suspected, order.Suspected)
		}
		return names, suspected
	}
	first, marks := at(true)
	c.Assert(first, qt.HasLen, 1)
	c.Check(marks, qt.DeepEquals, []bool{true})
	for range 20 {
		again, _ := at(true)
		c.Assert(again, qt.DeepEquals, first)
	}
	unreachable, _ := at(true, refused(hop.ReasonConnect))
	c.Assert(unreachable, qt.HasLen, 2)
	c.Check(unreachable[0], qt.Equals, first[0])
	for _, reason := range []hop.Reason{hop.ReasonProbe, hop.ReasonOverloaded, hop.ReasonCold, hop.ReasonCrashesInstances} {
		busy, _ := at(true, refused(reason))
		c.Check(busy, qt.DeepEquals, first, qt.Commentf("%s", reason))
	}
	// This node knows of the crash before any record of it arrives.
	_, marks = at(false, crashed)
	c.Check(marks, qt.DeepEquals, []bool{false, true})
}
