package inbound

import (
	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// reportConnections is how many connections are kept free for reading the back
// end's reports.
const reportConnections = 1

// serviceLimits is what one snapshot says about this back end.
type serviceLimits struct {
	snapshot *snapshot.Snapshot
	routes   map[string]*snapshot.Route
}

// configuration returns the limits of the snapshot in force, or nil without one.
// A new snapshot's limits are applied on its first request.
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
	p.configured.Lock()
	defer p.configured.Unlock()
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

// admissionLimits takes the service's limits over those of the settings. A
// connection is kept free for reports where they are read.
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

// The weights of routes that compete for slots. A read that is shed can be sent
// again at no risk; a booking that is shed costs its caller more.
const (
	weightRepeatable = 1
	weightOnce       = 2
)

// routeLimits returns the limits of a route; of one that this node does not hold
// (it may be a version behind the sender) only the instance's own bounds apply.
func routeLimits(route *snapshot.Route, method string) admission.RouteLimits {
	if route == nil {
		return admission.RouteLimits{Weight: weightRepeatable}
	}
	weight := weightRepeatable
	if !route.MayRepeat(method) {
		weight = weightOnce
	}
	return admission.RouteLimits{
		MaxInFlight: route.Limits.MaxInFlight,
		MaxQueued:   route.Limits.MaxQueued,
		Weight:      weight,
	}
}
