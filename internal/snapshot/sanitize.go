package snapshot

import (
	"encoding/json"
	"fmt"
	"slices"
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
