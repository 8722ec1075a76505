package outbound

import (
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// unusableRetryAfter is when callers should retry a request that only another configuration can serve.
const unusableRetryAfter = 5 * time.Second

// isUnusable reports whether the operators' entry for the route or for the caller's tenant cannot be used.
func isUnusable(route *snapshot.Route, identity tenancy.Identity) bool {
	return route.Unusable || identity.Tenant != nil && identity.Tenant.Unusable
}

// refuseUnusable returns the answer to a request for which the configuration cannot be used. The route
// exists, so the request may succeed later.
func (p *Proxy) refuseUnusable(request *message.Request, route *snapshot.Route, identity tenancy.Identity, current *snapshot.Snapshot) *message.Response {
	fault := route.Fault
	if !route.Unusable {
		fault = identity.Tenant.Fault
	}
	p.log.unusable(request, route, identity, current, fault)
	p.metrics.ended("", outcomeNotRun, 0)
	return p.errorAnswer(request, http.StatusServiceUnavailable, "not run: the configuration of the route or of the tenant cannot be used", spread(unusableRetryAfter))
}
