package outbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// assessCall returns the effective priority of a request, and whether it is a call that the local instance
// makes for a request that it runs.
func (p *Proxy) assessCall(current *snapshot.Snapshot, route *snapshot.Route, identity tenancy.Identity, now time.Time) callpriority.Assessment {
	own := tenancy.Priority(route, identity)
	if !p.options.Mechanisms.CallPriority || !p.priorityUse.ranks(current) || p.externalRoutes.has(route.Name) {
		return callpriority.Assessment{Priority: own}
	}
	assessed := p.options.Calls.Assess(route.Name, own, now)
	if assessed.IsCall {
		p.metrics.called(assessed.Priority < own)
	}
	return assessed
}

// callWait returns how long a call may wait for a slot: for as long as it can still be answered, as its
// rejection fails the request that it is made for. Other requests may wait for the given time.
func callWait(call callpriority.Assessment, maxWait, remaining, serviceTime time.Duration) time.Duration {
	if !call.IsCall {
		return maxWait
	}
	return max(remaining-serviceTime, 0)
}
