package inbound

import (
	"sync"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// minRequests is the number of requests of a route before it is first classified.
	minRequests = 60
	// evaluationInterval is the number of further requests between two evaluations.
	evaluationInterval = 10
	// minRateRatio is the share of the highest request rate per node of any service that the
	// nodes of every service must reach for the route to count as shared.
	minRateRatio = 0.2
	// maxRoutes limits the number of routes that are tracked.
	maxRoutes = 10_000
)

// originTracker detects which routes are used by external callers. Requests of callers start
// evenly at all nodes, while the calls of instances start only at the nodes of the calling
// services.
type originTracker struct {
	mutex  sync.Mutex
	routes map[string]*routeOrigin
}

// routeOrigin counts where the requests of one route start.
type routeOrigin struct {
	// services counts the requests by the service of the node at which they start.
	services map[string]int
	total    int
	shared   bool
}

// record counts a request of a route that starts at a node of the service, and reports
// whether the route's requests start at the nodes of all services.
func (o *originTracker) record(route, service string, current *snapshot.Snapshot) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	found := o.routes[route]
	if found == nil {
		if o.routes == nil || len(o.routes) >= maxRoutes {
			o.routes = make(map[string]*routeOrigin)
		}
		found = &routeOrigin{services: make(map[string]int)}
		o.routes[route] = found
	}
	if found.shared {
		return true
	}
	found.services[service]++
	found.total++
	if found.total >= minRequests && found.total%evaluationInterval == 0 {
		found.shared = found.isShared(current)
	}
	return found.shared
}

// isShared compares the number of requests per node of each service.
func (o *routeOrigin) isShared(current *snapshot.Snapshot) bool {
	lowest, highest := -1.0, 0.0
	for service := range current.Services() {
		nodes := len(current.Instances(service))
		if nodes == 0 {
			continue
		}
		rate := float64(o.services[service]) / float64(nodes)
		highest = max(highest, rate)
		if lowest < 0 || rate < lowest {
			lowest = rate
		}
	}
	return highest > 0 && lowest >= minRateRatio*highest
}
