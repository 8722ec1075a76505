package admin

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// newConfiguration describes the configuration in force; current may be nil.
func newConfiguration(current *snapshot.Snapshot) Configuration {
	configuration := Configuration{
		Routes:   []Route{},
		Services: []snapshot.Service{},
		Secrets:  []string{},
	}
	if current == nil {
		return configuration
	}
	configuration.Version = current.Version()
	configuration.Generation = current.Generation()
	configuration.EvacuatedZones = current.EvacuatedZones()
	for _, route := range current.Routes() {
		configuration.Routes = append(configuration.Routes, newRoute(route))
	}
	for _, service := range current.Services() {
		configuration.Services = append(configuration.Services, service)
	}
	slices.SortFunc(configuration.Services, func(a, b snapshot.Service) int { return cmp.Compare(a.Name, b.Name) })
	configuration.Secrets = append(configuration.Secrets, current.SecretNames()...)
	return configuration
}

// ExplainRequest describes the request that /v1/explain explains.
type ExplainRequest struct {
	Method string
	Host   string
	Path   string
	Header http.Header
}

// explain returns what a node of the given zone would do with a request.
func explain(request ExplainRequest, current *snapshot.Snapshot, view *membership.View, zone string) Explanation {
	explanation := Explanation{Version: current.Version(), Generation: current.Generation(), Considered: routeVerdicts(request, current), EvacuatedZones: current.EvacuatedZones()}
	route := current.Lookup(request.Method, request.Host, request.Path, request.Header)
	if route == nil {
		return explanation
	}
	matched := newRoute(*route)
	explanation.Route = &matched
	explanation.MayRepeat = route.MayRepeat(request.Method)
	for _, target := range route.Targets {
		explanation.Targets = append(explanation.Targets, Target{
			Service:   target.Service,
			Weight:    target.Weight,
			Instances: targetInstances(view.Endpoints(target.Service), zone),
		})
	}
	return explanation
}

func routeVerdicts(request ExplainRequest, current *snapshot.Snapshot) []RouteVerdict {
	verdicts := []RouteVerdict{}
	for _, found := range current.Explain(request.Method, request.Host, request.Path, request.Header) {
		verdicts = append(verdicts, RouteVerdict{Route: found.Route.Name, Verdict: found.Verdict, Header: found.Header})
	}
	return verdicts
}

func targetInstances(endpoints []membership.Endpoint, zone string) []TargetInstance {
	instances := make([]TargetInstance, 0, len(endpoints))
	for _, endpoint := range endpoints {
		instances = append(instances, TargetInstance{
			Node:        endpoint.Node,
			Zone:        endpoint.Zone,
			SameZone:    endpoint.Zone == zone,
			DataAddress: endpoint.DataAddress,
			Slots:       endpoint.Slots,
			Suspected:   endpoint.Suspected,
		})
	}
	return instances
}
