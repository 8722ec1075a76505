package outbound

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// silentSidecars answer late at one instance, and at once at all others.
type silentSidecars struct {
	scriptedSidecars
	silent string
	sends  []string
}

func (n *silentSidecars) send(_ context.Context, _ *message.Request, instance snapshot.Instance, _ hop.Order, mayGiveUp func() bool) sendResult {
	n.sends = append(n.sends, instance.Name)
	if instance.Name == n.silent && mayGiveUp() {
		return resultOf(hop.Report{Outcome: hop.Unknown, Reason: hop.ReasonBroken})
	}
	return resultOf(hop.Report{Outcome: hop.Answered})
}

// TestSilentSendIsReplacedOnlyByARepeat guards against answers that are lost because a send was given
// up before it was known that no repeat is allowed: the budget is empty, the attempts are used up, or
// no other instance is left.
func TestSilentSendIsReplacedOnlyByARepeat(t *testing.T) {
	plenty := budget.Options{Ratio: 10, Slack: 1000, Window: 10 * time.Second}
	for name, row := range map[string]struct {
		budget    budget.Options
		attempts  int
		instances []string
		sends     int
	}{
		"repeat allowed":     {plenty, 2, []string{"a", "b"}, 2},
		"budget empty":       {budget.Options{Window: 10 * time.Second}, 2, []string{"a", "b"}, 1},
		"attempts used up":   {plenty, 1, []string{"a", "b"}, 1},
		"no other instance":  {plenty, 2, []string{"a"}, 1},
		"all others drained": {plenty, 2, []string{"a", "-b"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var instances []snapshot.Instance
			for _, each := range row.instances {
				instance := instanceOf("s", each)
				if each[0] == '-' {
					instance.State = snapshot.InstanceDraining
				}
				instances = append(instances, instance)
			}
			route := testRoute(snapshot.WeightedService{Service: "s", Weight: 1})
			route.MaxAttempts = row.attempts
			sidecars := &silentSidecars{silent: "a"}
			proxy := newTestProxy(c, route, instances, sidecars)
			proxy.options.Budget = budget.New(row.budget)
			for len(sidecars.sends) == 0 || sidecars.sends[0] != "a" {
				sidecars.sends = nil
				answer := proxy.Serve(context.Background(), testRequest(http.MethodGet))
				c.Assert(answer.Status, qt.Equals, http.StatusOK)
			}
			c.Check(sidecars.sends, qt.HasLen, row.sends)
		})
	}
}
