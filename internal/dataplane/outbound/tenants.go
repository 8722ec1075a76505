package outbound

import (
	"context"
	"net/http"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// Check returns the answer to a request whose key is missing or not valid, or for which the configuration
// cannot be used, or nil. It decides by the header, before the body is read.
func (p *Proxy) Check(request *message.Request) *message.Response {
	current := p.options.Snapshots.Current()
	if current == nil || !current.RequiresKeys() && !current.HasUnusableRoutes() {
		return nil
	}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	if route == nil {
		return nil
	}
	identity, refusal := tenancy.Authenticate(current, route, request.Header)
	switch {
	case refusal != "":
		return p.refuseUnauthenticated(request, route, current, refusal)
	case isUnusable(route, identity):
		return p.refuseUnusable(request, route, identity, current)
	default:
		return nil
	}
}

// refuseUnauthenticated returns the answer to a request whose key is missing or not valid.
func (p *Proxy) refuseUnauthenticated(request *message.Request, route *snapshot.Route, current *snapshot.Snapshot, refusal tenancy.Refusal) *message.Response {
	p.log.unauthenticated(request, route, current, refusal)
	p.metrics.ended("", outcomeUnauthenticated, 0)
	return p.errorAnswer(request, http.StatusUnauthorized, string(refusal), 0)
}

// refuseBeyondQuota returns the answer to a request beyond the quota of its tenant, or nil.
func (p *Proxy) refuseBeyondQuota(ctx context.Context, started *exchange) *message.Response {
	if started.identity.IsAnonymous() || p.options.Quota == nil {
		return nil
	}
	decision := p.options.Quota.Admit(ctx, started.current, started.identity.Tenant)
	if decision.Admitted {
		return nil
	}
	p.log.beyondQuota(started, decision)
	p.metrics.ended("", outcomeBeyondQuota, 0)
	return p.errorAnswer(started.request, http.StatusTooManyRequests, "not run: the quota of the tenant is used up", spread(decision.RetryAfter))
}

// returnToken gives back the token of a request that reached no instance.
func (e *exchange) returnToken() {
	if e.arrivals == 0 && !e.identity.IsAnonymous() && e.proxy.options.Quota != nil {
		e.proxy.options.Quota.Return(e.identity.Tenant)
	}
}

// refuseRevoked returns the final answer to a request whose key was revoked before it ran.
func (e *exchange) refuseRevoked() *message.Response {
	if e.possibleRuns > 0 || e.callerGone() {
		return e.refuse()
	}
	if e.identity.IsValid(e.proxy.options.Snapshots.Current()) {
		e.lastReason = hop.ReasonKeyRevoked
		return e.refuse() // this node learns of it in a moment
	}
	e.finish(outcomeUnauthenticated, http.StatusUnauthorized)
	return e.proxy.errorAnswer(e.request, http.StatusUnauthorized, string(tenancy.Unknown), 0)
}

// permittedInstances returns the instances of the selected target in the allowed regions.
func (e *exchange) permittedInstances() []snapshot.Instance {
	if !tenancy.RestrictsRegions(e.route, e.identity) {
		return e.current.Instances(e.service)
	}
	if e.permitted == nil {
		e.permitted = []snapshot.Instance{}
		for _, instance := range e.current.Instances(e.service) {
			if tenancy.AllowsRegion(e.route, e.identity, e.proxy.options.Regions[instance.Zone]) {
				e.permitted = append(e.permitted, instance)
			}
		}
	}
	return e.permitted
}

// isOutsideRegions reports whether the selected target has instances, but none that may serve the request.
func (e *exchange) isOutsideRegions() bool {
	return len(e.instances()) == 0 && len(e.current.Instances(e.service)) > 0
}

// keyTag returns the tag of the key that the request was sent with, if any.
func (e *exchange) keyTag() string {
	if e.identity.IsAnonymous() {
		return ""
	}
	return e.identity.Key.Tag().String()
}

// quotaRequestID is the ID of requests for tokens, of which a connection carries one at a time.
const quotaRequestID = "quota"

// requestTokens sends a request for tokens to the node with an IP address.
func (n *sidecarPools) requestTokens(ctx context.Context, node string, body []byte) ([]byte, error) {
	header := http.Header{}
	if n.idHeader != "" {
		header[n.idHeader] = []string{quotaRequestID}
	}
	address := n.addressOn(node)
	response, err := n.poolOf(address).Do(ctx, &client.Request{
		Method: quota.Method, Target: quota.Target, Host: address, Header: header, Body: body, ID: quotaRequestID,
	})
	if err != nil {
		return nil, err
	}
	answer, whole, err := response.Buffer()
	if closed := response.Close(); err == nil {
		err = closed
	}
	switch {
	case err != nil:
		return nil, err
	case !whole || response.Status != http.StatusOK:
		return nil, errNoTokens
	default:
		return answer, nil
	}
}
