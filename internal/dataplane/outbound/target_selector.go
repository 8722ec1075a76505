package outbound

import (
	"math/rand/v2"
	"sync"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// targetSelector distributes the requests of routes with several targets by weight. It uses
// round robin, so that the shares come close to the weights even with few requests.
type targetSelector struct {
	mutex  sync.Mutex
	routes map[string]*weightedRoundRobin
}

// weightedRoundRobin is the state of a smooth weighted round robin over the targets of a route.
type weightedRoundRobin struct {
	targets []snapshot.WeightedService
	credits []int
}

// maxSelectorRoutes limits the number of routes that are kept.
const maxSelectorRoutes = 10_000

// choose returns the service for the next request of a route.
func (s *targetSelector) choose(route *snapshot.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.routes == nil || len(s.routes) > maxSelectorRoutes {
		s.routes = make(map[string]*weightedRoundRobin)
	}
	found := s.routes[route.Name]
	if found == nil || !sameTargets(found.targets, route.Targets) {
		found = newWeightedRoundRobin(route.Targets)
		s.routes[route.Name] = found
	}
	return found.next()
}

// maxStartOffset bounds how many choices are skipped for a random start.
const maxStartOffset = 1000

// newWeightedRoundRobin starts at a random position, so that the nodes of a fleet do not all
// start with the same target.
func newWeightedRoundRobin(targets []snapshot.WeightedService) *weightedRoundRobin {
	created := &weightedRoundRobin{targets: targets, credits: make([]int, len(targets))}
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	for range rand.IntN(min(max(total, 1), maxStartOffset)) {
		created.next()
	}
	return created
}

func (s *weightedRoundRobin) next() string {
	total, best := 0, 0
	for i, target := range s.targets {
		s.credits[i] += target.Weight
		total += target.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
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
