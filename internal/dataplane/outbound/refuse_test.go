package outbound

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestRetryAfterByCause guards against callers that are sent away for long by a service that has room:
// its instances reject requests although they have free slots. One full instance among those that were
// asked makes the service count as full.
func TestRetryAfterByCause(t *testing.T) {
	rejected := hop.Report{Outcome: hop.Rejected, Reason: hop.ReasonRejected}
	full := hop.Report{Outcome: hop.Refused, Reason: hop.ReasonOverloaded}
	for name, row := range map[string]struct {
		script []hop.Report
		late   bool
	}{
		"rejected by all":   {[]hop.Report{rejected, rejected, rejected}, false},
		"full":              {[]hop.Report{full, full, full}, true},
		"rejected and full": {[]hop.Report{rejected, full, full}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var instances []snapshot.Instance
			for i := range row.script {
				instances = append(instances, instanceOf("s", string(rune('a'+i))))
			}
			sidecars := &scriptedSidecars{script: row.script}
			proxy := newTestProxy(c, testRoute(snapshot.WeightedService{Service: "s", Weight: 1}), instances, sidecars)
			answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
			c.Assert(answer.Status, qt.Equals, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(answer.Header.Get(headerRetryAfter), 64)
			c.Assert(err, qt.IsNil)
			if row.late {
				c.Check(wait >= 0.5, qt.IsTrue, qt.Commentf("%v s", wait))
				return
			}
			c.Check(wait >= retryafter.Min.Seconds(), qt.IsTrue, qt.Commentf("%v s", wait))
			c.Check(wait <= retryafter.Min.Seconds()*(1+retryJitter), qt.IsTrue, qt.Commentf("%v s", wait))
		})
	}
}
