package snapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Sanitize returns the services, routes, tenants and limits of a content in a form that a document can
// hold and that compiles, whatever values they have. A value that cannot be used costs the resource that
// holds it and no other one: the resource keeps what is valid, says in its Fault what was not used, and is
// unusable where its meaning or its access would otherwise be unclear. The result depends only on the
// content, so all nodes that read a configuration agree on it.
func Sanitize(content Content) Content {
	content.Routes = sanitizeRoutes(content.Routes)
	content.Services = withTargets(sanitizeServices(content.Services), content.Routes)
	content.Tenants = sanitizeTenants(content.Tenants)
	if content.Limits != nil {
		limits := sanitizeLimits(*content.Limits)
		content.Limits = &limits
	}
	return content
}

// maxConfigurationBytes leaves a quarter of a document to instances and evacuations.
const maxConfigurationBytes = MaxDocumentBytes / 4 * 3

// LimitSize returns the sanitized content without the services, tenants and routes that do not fit into a
// document, last ones first, and how many these are. The Fault of the limits counts them.
func LimitSize(content Content) (limited Content, leftOut int) {
	size := 0
	content.Services = firstFitting(content.Services, serviceName, &size, &leftOut)
	content.Tenants = firstFitting(content.Tenants, tenantName, &size, &leftOut)
	content.Routes = firstFitting(content.Routes, typedRouteName, &size, &leftOut)
	if leftOut == 0 {
		return content, 0
	}
	content.Routes = withoutUnlistedTargets(content.Routes, content.Services)
	limits := CallerLimits{}
	if content.Limits != nil {
		limits = *content.Limits
	}
	limits.Fault = AddFault(limits.Fault, fmt.Sprintf("the configuration is too large: %d services, tenants and routes are left out", leftOut))
	content.Limits = &limits
	return content, leftOut
}

// withoutUnlistedTargets makes the routes unusable that have a target among the services left out.
func withoutUnlistedTargets(routes []TypedRoute, services []Service) []TypedRoute {
	listed := make(map[string]bool, len(services))
	for _, service := range services {
		listed[service.Name] = true
	}
	routes = slices.Clone(routes)
	for i, route := range routes {
		if slices.ContainsFunc(route.Targets, func(target WeightedService) bool { return !listed[target.Service] }) {
			routes[i] = sanitizeRoute(route.unusable("a service of the route is left out"))
		}
	}
	return routes
}

// firstFitting returns the first values that fit into a document after size bytes. It adds their size, and
// the number of the others to leftOut.
func firstFitting[T any](values []T, name func(T) string, size, leftOut *int) []T {
	for i, value := range values {
		encoded, err := json.Marshal(value)
		*size += len(name(value)) + len(encoded) + ResourceOverheadBytes
		if err != nil || i >= MaxTypedResources || *size > maxConfigurationBytes {
			*leftOut += len(values) - i
			return values[:i]
		}
	}
	return values
}

// placeholderName names a resource whose own name cannot be used, by its position.
func placeholderName(kind Kind, index int) string { return fmt.Sprintf("(%s %d)", kind, index+1) }

func sanitizeServices(services []Service) []Service {
	kept := make([]Service, 0, len(services))
	positions := make(map[string]int, len(services))
	for i, service := range services {
		if err := checkName(KindService, service.Name); err != nil {
			service = Service{Name: placeholderName(KindService, i), Fault: AddFault(service.Fault, err.Error())}
		}
		if err := checkService(service); err != nil {
			service = Service{Name: service.Name, Fault: AddFault(service.Fault, err.Error())}
		}
		position, listed := positions[service.Name]
		switch {
		case !listed:
			positions[service.Name] = len(kept)
			kept = append(kept, service)
		case kept[position] != service:
			kept[position].Fault = AddFault(kept[position].Fault, "the service is listed more than once: the first entry is used")
		}
	}
	return kept
}

// withTargets adds the services that routes name and no entry lists. They have no limits of their own.
func withTargets(services []Service, routes []TypedRoute) []Service {
	listed := make(map[string]bool, len(services))
	for _, service := range services {
		listed[service.Name] = true
	}
	for i := range routes {
		for _, target := range routes[i].Targets {
			if !listed[target.Service] {
				listed[target.Service] = true
				services = append(services, Service{Name: target.Service, Fault: "a route names the service, and no entry lists it: it has no limits"})
			}
		}
	}
	return services
}

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

// maxTenantNameBytes bounds the names of tenants, which are sent with each request between nodes.
const maxTenantNameBytes = 1 << 10

// shorten returns the name, with a digest in place of the rest of one that is longer than the limit.
func shorten(name string, limit int) string {
	name = strings.ToValidUTF8(name, "\uFFFD")
	if len(name) <= limit {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return truncate(name, limit-hex.EncodedLen(len(digest))) + hex.EncodeToString(digest[:])
}

func sanitizeTenants(tenants []Tenant) []Tenant {
	kept := make([]Tenant, 0, len(tenants))
	positions := make(map[string]int, len(tenants))
	for i, tenant := range tenants {
		tenant = sanitizeTenant(tenant, placeholderName(KindTenant, i))
		position, listed := positions[tenant.Name]
		if !listed {
			positions[tenant.Name] = len(kept)
			kept = append(kept, tenant)
			continue
		}
		kept[position] = mergeTenants(kept[position], tenant)
	}
	return withoutSharedKeys(kept)
}

func sanitizeTenant(tenant Tenant, placeholder string) Tenant {
	tenant.Name = shorten(tenant.Name, maxTenantNameBytes)
	if err := checkName(KindTenant, tenant.Name); err != nil {
		tenant = tenant.unusable(err.Error())
		tenant.Name = placeholder
	}
	if !isQuota(tenant.RequestsPerSecond) || !isQuota(tenant.Burst) {
		tenant.RequestsPerSecond, tenant.Burst = 0, 0
		tenant.Fault = AddFault(tenant.Fault, "the quota is not a number from 0 on: there is no limit")
	}
	if tenant.Priority != nil && *tenant.Priority < 0 {
		tenant.Priority = nil
		tenant.Fault = AddFault(tenant.Fault, "the priority is negative: those of the routes are used")
	}
	return tenant
}

func (t Tenant) unusable(problem string) Tenant {
	t.Unusable, t.Fault = true, AddFault(t.Fault, problem)
	return t
}

// mergeTenants returns the tenant for two entries of one name. It has the keys of both, and is unusable
// unless the entries agree.
func mergeTenants(first, second Tenant) Tenant {
	keys := slices.Clone(first.KeyDigests)
	for _, digest := range second.KeyDigests {
		if !slices.Contains(keys, digest) {
			keys = append(keys, digest)
		}
	}
	samePriority := first.Priority == nil && second.Priority == nil ||
		first.Priority != nil && second.Priority != nil && *first.Priority == *second.Priority
	agree := samePriority && first.RequestsPerSecond == second.RequestsPerSecond && first.Burst == second.Burst &&
		slices.Equal(first.AllowedRegions, second.AllowedRegions) && first.Unusable == second.Unusable
	first.KeyDigests = keys
	if agree {
		return first
	}
	return first.unusable("the tenant is listed more than once, with different values")
}

// withoutSharedKeys removes the keys that several tenants have: it is not clear whose they are.
func withoutSharedKeys(tenants []Tenant) []Tenant {
	owners := make(map[KeyDigest]int)
	for i := range tenants {
		for _, digest := range tenants[i].KeyDigests {
			owners[digest]++
		}
	}
	maps.DeleteFunc(owners, func(_ KeyDigest, count int) bool { return count == 1 })
	if len(owners) == 0 {
		return tenants
	}
	for i := range tenants {
		tenant := &tenants[i]
		own := slices.DeleteFunc(slices.Clone(tenant.KeyDigests), func(digest KeyDigest) bool { return owners[digest] > 0 })
		if len(own) < len(tenant.KeyDigests) {
			tenant.KeyDigests = own
			tenant.Fault = AddFault(tenant.Fault, "another tenant has the same key: the key is not accepted")
		}
	}
	return tenants
}

func sanitizeLimits(limits CallerLimits) CallerLimits {
	if checkCallerLimits(limits) == nil {
		return limits
	}
	return CallerLimits{
		MaxHeaderBytes: max(limits.MaxHeaderBytes, 0), MaxBodyBytes: max(limits.MaxBodyBytes, 0),
		HeaderTimeoutMillis: max(limits.HeaderTimeoutMillis, 0), IdleTimeoutMillis: max(limits.IdleTimeoutMillis, 0),
		RequireKeys: limits.RequireKeys, Fault: AddFault(limits.Fault, "a limit is negative: that of the settings is used"),
	}
}
