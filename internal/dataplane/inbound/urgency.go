package inbound

import (
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// serviceAllowance is how many times the expected service time of its order a request may run and
// still be in time: Due leaves 1.5 times the sender's expectation, of which the order states 0.7.
const serviceAllowance = 2

// urgencyOf returns when the answer to a request should be sent to the other node.
func urgencyOf(request *message.Request, order hop.Order) *message.Urgency {
	return &message.Urgency{
		Priority: order.Priority,
		Due:      request.Arrived.Add(order.Due + serviceAllowance*order.ServiceTime),
	}
}
