package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// routeMatch identifies the requests that a typed route applies to.
type routeMatch struct{ host, pathPrefix string }

func sanitizeRoutes(routes []TypedRoute) []TypedRoute {
	kept := make([]TypedRoute, 0, len(routes))
	positions := make(map[routeMatch]int, len(routes))
	for _, route := range routes {
		route = sanitizeRoute(route)
		match := routeMatch{host: route.Host, pathPrefix: route.PathPrefix}
		position, listed := positions[match]
		if !listed {
			positions[match] = len(kept)
			kept = append(kept, route)
			continue
		}
		kept[position] = mergeRoutes(kept[position], route)
	}
	nameRoutes(kept)
	return kept
}

// sanitizeRoute returns the route with a valid match, and without targets if it is unusable.
func sanitizeRoute(route TypedRoute) TypedRoute {
	route = sanitizeMatch(route)
	if !route.Unusable {
		route = sanitizeTargets(route)
	}
	compiled := route.Compile()
	if err := checkForwarding(&compiled); err != nil && !route.Unusable {
		route = route.unusable(err.Error())
	}
	if route.Priority < 0 || route.TargetLatencyMillis < 0 {
		route.Priority, route.TargetLatencyMillis = max(route.Priority, 0), max(route.TargetLatencyMillis, 0)
		route.Fault = AddFault(route.Fault, "the priority or the target latency is negative: zero is used")
	}
	if route.Unusable {
		return TypedRoute{
			Name: route.Name, Host: route.Host, PathPrefix: route.PathPrefix, AllowAnonymous: route.AllowAnonymous,
			Unusable: true, Fault: route.Fault,
		}
	}
	return route
}

func (r TypedRoute) unusable(problem string) TypedRoute {
	r.Unusable, r.Fault = true, AddFault(r.Fault, problem)
	return r
}

// unknownHost takes the place of a host that no request can have.
const unknownHost = "(unknown)"

// sanitizeMatch makes a route whose host or path is not valid unusable, and lets it match the requests that
// the operators can have meant: those of its host that no other route takes, or none if the host is not
// known either.
func sanitizeMatch(route TypedRoute) TypedRoute {
	if name := hostName(route.Host); name == "" || len(name) > maxHostBytes {
		route = route.unusable(fmt.Sprintf("no request can have the host %.64q", route.Host))
		route.Host = unknownHost
	}
	route.Host = routeHost(route.Host)
	switch {
	case strings.HasPrefix(route.PathPrefix, "/"):
	case route.PathPrefix == "":
		route = route.unusable("the route has no path prefix")
	default:
		route = route.unusable(fmt.Sprintf("path prefix %.64q does not begin with a slash", route.PathPrefix))
		route.PathPrefix = "/" + route.PathPrefix
	}
	return route
}

// routeHost returns the host of a route in the form in which it is looked up: in lower case, with the port
// only if the route is for that port.
func routeHost(host string) string {
	host = strings.ToLower(host)
	name := hostName(host)
	if rest, found := strings.CutPrefix(host, name+":"); found && rest != "" {
		return host
	}
	if strings.HasPrefix(host, "[") && !strings.HasSuffix(host, "]") {
		return host
	}
	return name
}

func sanitizeTargets(route TypedRoute) TypedRoute {
	targets := make([]WeightedService, 0, len(route.Targets))
	for _, target := range route.Targets {
		switch {
		case checkName(KindService, target.Service) != nil:
			route.Fault = AddFault(route.Fault, "a target does not name a service")
		case target.Weight < 1:
			route.Fault = AddFault(route.Fault, fmt.Sprintf("the weight of service %.64q is not positive", target.Service))
		default:
			targets = append(targets, WeightedService{Service: target.Service, Weight: min(target.Weight, MaxWeight)})
		}
	}
	route.Targets = targets
	if len(targets) == 0 {
		return route.unusable("the route has no target")
	}
	return route
}

// mergeRoutes returns the route for the requests that two routes apply to. It is the first one, and
// unusable if they do not agree on who may be served, or where.
func mergeRoutes(first, second TypedRoute) TypedRoute {
	unnamed := second
	unnamed.Name = first.Name
	if routesEqual(first, unnamed) {
		return first
	}
	first.Fault = AddFault(first.Fault, fmt.Sprintf("route %.64q has the same host and path prefix: the first one is used", second.Name))
	sameAccess := first.AllowAnonymous == second.AllowAnonymous && slices.Equal(first.AllowedRegions, second.AllowedRegions)
	if first.Unusable || (sameAccess && !second.Unusable) {
		return first
	}
	return sanitizeRoute(first.unusable("it is not clear which of them applies"))
}

func routesEqual(a, b TypedRoute) bool {
	return a.Repeatable == b.Repeatable && a.TimeoutMillis == b.TimeoutMillis && a.TargetLatencyMillis == b.TargetLatencyMillis &&
		a.Priority == b.Priority && a.MaxAttempts == b.MaxAttempts && slices.Equal(a.Targets, b.Targets) &&
		a.AllowAnonymous == b.AllowAnonymous && slices.Equal(a.AllowedRegions, b.AllowedRegions) && a.Unusable == b.Unusable && a.Fault == b.Fault
}

// nameRoutes gives each route a name of its own. The names of the source are unique within a host at most.
func nameRoutes(routes []TypedRoute) {
	uses := make(map[string]int, len(routes))
	for i := range routes {
		uses[routes[i].Name]++
	}
	taken := make(map[string]bool, len(routes))
	for name, count := range uses {
		taken[name] = count == 1 && checkName(KindRoute, name) == nil
	}
	for i := range routes {
		route := &routes[i]
		if taken[route.Name] && uses[route.Name] == 1 {
			continue
		}
		name := route.Name + "@" + route.Host
		if route.Name == "" || taken[shorten(name, maxShortNameBytes)] {
			name = route.Name + "@" + route.Host + route.PathPrefix
		}
		name = shorten(name, maxShortNameBytes)
		for suffix := 2; taken[name]; suffix++ {
			name = shorten(route.Name+"@"+route.Host+route.PathPrefix, maxShortNameBytes) + "#" + strconv.Itoa(suffix)
		}
		taken[name] = true
		route.Name = name
	}
}

// maxShortNameBytes bounds the names that are made from others. They are shorter than MaxTypedNameBytes
// by more than a suffix.
const maxShortNameBytes = MaxTypedNameBytes / 2

// shorten returns the name, with a digest in place of the rest of one that is longer than the limit.
func shorten(name string, limit int) string {
	name = strings.ToValidUTF8(name, "\uFFFD")
	if len(name) <= limit {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return truncate(name, limit-hex.EncodedLen(len(digest))) + hex.EncodeToString(digest[:])
}
