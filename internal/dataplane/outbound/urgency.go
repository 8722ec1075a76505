package outbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// answerUrgency returns when the answer should be sent to the caller.
func (e *exchange) answerUrgency() *message.Urgency {
	due := e.deadline
	if e.route.TargetLatency > 0 {
		due = e.request.Arrived.Add(e.route.TargetLatency)
	}
	return &message.Urgency{Priority: tenancy.Priority(e.route, e.identity), Due: due}
}

// bodyOrder returns when the body of a request should be sent: in time for the start of its run.
func bodyOrder(order hop.Order) transfer.Order {
	return transfer.Order{Priority: order.Priority, Due: time.Now().Add(order.Due)}
}
