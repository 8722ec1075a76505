package outbound

import (
	"math/rand/v2"
	"sync"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// splits deals the requests of routes with several targets by weight: each node
// in turn, so that also few requests come close to the weights.
type splits struct {
	mutex  sync.Mutex
	routes map[string]*split
}

// split is the state of a smooth weighted round robin over the targets of a route.
type split struct {
	targets []snapshot.WeightedService
	credit  []int
}

// maxSplits bounds the routes that are remembered.
const maxSplits = 10_000

// choose returns the service for the next request of a route.
func (s *splits) choose(route *snapshot.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.routes == nil || len(s.routes) > maxSplits {
		s.routes = make(map[string]*split)
	}
	found := s.routes[route.Name]
	if found == nil || !sameTargets(found.targets, route.Targets) {
		found = newSplit(route.Targets)
		s.routes[route.Name] = found
	}
	return found.next()
}

// newSplit begins at a random place, so that the nodes of a fleet do not all
// begin with the same target.
func newSplit(targets []snapshot.WeightedService) *split {
	created := &split{targets: targets, credit: make([]int, len(targets))}
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	for range rand.IntN(max(total, 1)) {
		created.next()
	}
	return created
}

func (s *split) next() string {
	total, best := 0, 0
	for i, target := range s.targets {
		s.credit[i] += target.Weight
		total += target.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.targets[best].Service
}

func sameTargets(a, b []snapshot.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
