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

// notingSidecars ends the first deliveries as the script says, and notes the orders.
type notingSidecars struct {
	scriptedSidecars
	orders []hop.Order
}

func (n *notingSidecars) send(ctx context.Context, request *message.Request, instance snapshot.Instance, order hop.Order) result {
	n.orders = append(n.orders, order)
	return n.scriptedSidecars.send(ctx, request, instance, order)
}

// suspectRig is a Proxy of a service with many instances.
func suspectRig(c *qt.C, script ...hop.Report) (*Proxy, *notingSidecars) {
	var instances []snapshot.Instance
	for i := range 10 {
		instances = append(instances, instanceOf("s", fmt.Sprintf("10.0.0.%d:80", i)))
	}
	reached := &notingSidecars{scriptedSidecars: scriptedSidecars{script: script}}
	return outboundRig(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), instances, reached), reached
}

func contentOf(request *message.Request) []suspects.InProgress {
	return []suspects.InProgress{{Fingerprint: suspects.Of(request.Method, request.Host, request.Target, request.Body)}}
}

// TestQuarantinedIsRefused: a request that crashes instances is refused without being sent, and told
// when it may come back. That says nothing of the room for others: they must not be asked to
// come back later than they would be.
func TestQuarantinedIsRefused(t *testing.T) {
	c := qt.New(t)
	proxy, reached := suspectRig(c)
	request := testRequest(http.MethodGet)
	proxy.options.Suspects.Crashed("i", contentOf(request))
	probe := contentOf(request)
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
	c.Check(reached.orders, qt.HasLen, 0)
	c.Check(proxy.callers.Pressure("r", time.Now()), qt.Equals, 0.0)
	other := testRequest(http.MethodGet)
	other.Target = "/other"
	c.Check(proxy.Serve(t.Context(), other).Status, qt.Equals, http.StatusOK)
}

// TestSuspectsAreProbedAtOneInstance: all nodes send a suspected request to the same instance, to
// the next one only if that cannot be reached, and never to a second one because the first is
// busy with it or with another.
func TestSuspectsAreProbedAtOneInstance(t *testing.T) {
	c := qt.New(t)
	refused := func(reason hop.Reason) hop.Report { return hop.Report{Outcome: hop.Refused, Reason: reason} }
	crashed := hop.Report{Outcome: hop.Unknown, Reason: hop.ReasonCrashed}
	at := func(known bool, script ...hop.Report) (names []string, suspected []bool) {
		proxy, reached := suspectRig(c, script...)
		request := testRequest(http.MethodGet)
		if known {
			proxy.options.Suspects.Crashed("i", contentOf(request))
		}
		proxy.Serve(t.Context(), request)
		for _, order := range reached.orders {
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
	// The crash that this request met is known here before any record of it comes.
	_, marks = at(false, crashed)
	c.Check(marks, qt.DeepEquals, []bool{false, true})
}
