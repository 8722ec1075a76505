package inbound

import (
	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// reportConnections is how many connections are reserved for reading the backend's
// reports.
const reportConnections = 1

// serviceLimits holds what one snapshot says about this backend.
type serviceLimits struct {
	snapshot *snapshot.Snapshot
	routes   map[string]*snapshot.Route
}

// configuration returns the limits of the snapshot in force, or nil if there is none.
// The limits of a new snapshot are applied on its first request.
func (p *Proxy) configuration() *serviceLimits {
	current := p.snapshots.Current()
	if current == nil {
		return nil
	}
	if known := p.limits.Load(); known != nil && known.snapshot == current {
		return known
	}
	return p.applyLimits(current)
}

func (p *Proxy) applyLimits(current *snapshot.Snapshot) *serviceLimits {
	p.limitsMu.Lock()
	defer p.limitsMu.Unlock()
	if known := p.limits.Load(); known != nil && known.snapshot == current {
		return known
	}
	routes := current.Routes()
	next := &serviceLimits{snapshot: current, routes: make(map[string]*snapshot.Route, len(routes))}
	for index := range routes {
		next.routes[routes[index].Name] = &routes[index]
	}
	service, _ := current.Service(p.settings.Service)
	p.backend.setConnections(p.connections(service))
	p.admission.SetLimits(p.admissionLimits(service))
	p.limits.Store(next)
	return next
}

func (p *Proxy) connections(service snapshot.Service) int {
	if service.Connections > 0 {
		return service.Connections
	}
	return p.settings.Connections
}

// admissionLimits prefers the limits of the service to those of the settings, and
// reserves reportConnections.
func (p *Proxy) admissionLimits(service snapshot.Service) admission.Limits {
	limits := admission.Limits{
		Slots:       p.settings.Slots,
		Connections: p.connections(service),
		MaxQueued:   p.settings.MaxQueued,
	}
	if service.Slots > 0 {
		limits.Slots = service.Slots
	}
	if limits.Connections > reportConnections {
		limits.Connections -= reportConnections
	}
	return limits
}

// Weights of routes that compete for slots. A shed request that may be repeated can be
// sent again without risk; shedding one that may not, such as a booking, costs its
// caller more.
const (
	weightRepeatable    = 1
	weightNonRepeatable = 2
)

// routeLimits returns the limits of a route. For a route that this node does not hold
// (its configuration may be older than the sender's), only the limits of the instance
// apply.
func routeLimits(route *snapshot.Route, method string) admission.RouteLimits {
	if route == nil {
		return admission.RouteLimits{Weight: weightRepeatable}
	}
	weight := weightRepeatable
	if !route.MayRepeat(method) {
		weight = weightNonRepeatable
	}
	return admission.RouteLimits{
		MaxInFlight: route.Limits.MaxInFlight,
		MaxQueued:   route.Limits.MaxQueued,
		Weight:      weight,
	}
}
