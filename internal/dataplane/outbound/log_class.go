package outbound

import (
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/tenancy"
)

// classFields returns what the request counts as where slots are scarce: its effective priority beside that by
// its route and tenant, whether it is a call of the local instance and of which route, how many instances had
// no capacity, and the shortest time after which one of them expects to have some.
func (e *exchange) classFields() logrus.Fields {
	fields := logrus.Fields{
		"priority": e.call.Priority, "route_priority": tenancy.Priority(e.route, e.identity),
		"full": e.fullRefusals, "wait_ms": e.minRetryAfter.Milliseconds(),
	}
	if e.call.IsCall {
		fields["call_of"] = e.call.Parent
	}
	return fields
}
