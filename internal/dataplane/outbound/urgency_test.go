package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestUrgencyOfAnswers checks that an answer to a caller is due at the target latency of its route,
// or at the deadline of a route without one.
func TestUrgencyOfAnswers(t *testing.T) {
	c := qt.New(t)
	arrived := time.Unix(1000, 0)
	for target, want := range map[time.Duration]time.Duration{400 * time.Millisecond: 400 * time.Millisecond, 0: 3 * time.Second} {
		e := &exchange{
			request: &message.Request{Arrived: arrived}, deadline: arrived.Add(3 * time.Second),
			route: &snapshot.Route{Priority: 1, TargetLatency: target},
		}
		c.Check(e.answerUrgency(), qt.DeepEquals, &message.Urgency{Priority: 1, Due: arrived.Add(want)})
	}
}
