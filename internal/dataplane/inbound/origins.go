package inbound

import (
	"sync"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// leastOrigins is how many requests of a route are seen before it is judged.
	leastOrigins = 60
	// judgeEvery is how many more are seen between two looks.
	judgeEvery = 10
	// sharedRate is the least share of the greatest rate of one service's nodes that the
	// nodes beside each other service must send as well.
	sharedRate = 0.2
	// maxOrigins bounds the routes that are remembered.
	maxOrigins = 10_000
)

// origins learns which routes callers send: their requests start at all nodes alike, while
// the calls of instances start only beside instances of the services that make them.
type origins struct {
	mutex  sync.Mutex
	routes map[string]*origin
}

// origin is where the requests of one route start.
type origin struct {
	// services counts them by the service beside which they start.
	services map[string]int
	total    int
	shared   bool
}

// note takes over that a request of a route starts beside a service, and reports whether
// the route's requests start beside all services.
func (o *origins) note(route, service string, current *snapshot.Snapshot) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	found := o.routes[route]
	if found == nil {
		if o.routes == nil || len(o.routes) >= maxOrigins {
			o.routes = make(map[string]*origin)
		}
		found = &origin{services: make(map[string]int)}
		o.routes[route] = found
	}
	if found.shared {
		return true
	}
	found.services[service]++
	found.total++
	if found.total >= leastOrigins && found.total%judgeEvery == 0 {
		found.shared = found.isShared(current)
	}
	return found.shared
}

// isShared compares the requests for each node beside each service.
func (o *origin) isShared(current *snapshot.Snapshot) bool {
	least, most := -1.0, 0.0
	for service := range current.Services() {
		nodes := len(current.Instances(service))
		if nodes == 0 {
			continue
		}
		rate := float64(o.services[service]) / float64(nodes)
		most = max(most, rate)
		if least < 0 || rate < least {
			least = rate
		}
	}
	return most > 0 && least >= sharedRate*most
}
