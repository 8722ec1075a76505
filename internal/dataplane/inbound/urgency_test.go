package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// TestUrgencyOfAnswers checks that an answer leaves by the priority of its request, and is due
// before its target: 0.8 of 1 s, of which the service time of 170 ms allows a wait of 545 ms.
func TestUrgencyOfAnswers(t *testing.T) {
	c := qt.New(t)
	arrived := time.Unix(1000, 0)
	order := hop.Order{Priority: 2, Due: 545 * time.Millisecond, ServiceTime: 119 * time.Millisecond}
	urgency := urgencyOf(&message.Request{Arrived: arrived}, order)
	c.Check(urgency.Priority, qt.Equals, 2)
	c.Check(urgency.Due.Sub(arrived), qt.Equals, 783*time.Millisecond)
}
