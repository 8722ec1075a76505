package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestClassOfACall guards against lines that show a call without the route for which it is made, or only one of
// its two priorities.
func TestClassOfACall(t *testing.T) {
	c := qt.New(t)
	ended := &exchange{route: &snapshot.Route{Priority: 1}, call: callpriority.Assessment{Priority: 1}, fullRefusals: 2, minRetryAfter: 40 * time.Millisecond}
	c.Check(ended.classFields(), qt.DeepEquals, logrus.Fields{"priority": 1, "route_priority": 1, "full": 2, "wait_ms": int64(40)})
	ended.call = callpriority.Assessment{Priority: 0, IsCall: true, Parent: "script-fetch"}
	c.Check(ended.classFields(), qt.DeepEquals, logrus.Fields{"priority": 0, "route_priority": 1, "full": 2, "wait_ms": int64(40), "call_of": "script-fetch"})
}
