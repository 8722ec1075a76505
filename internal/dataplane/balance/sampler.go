package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// sampleSize is the number of instances without a fresh report that are considered for a
	// choice, in this node's zone and in the other zones each. With stale reports, choosing
	// the least loaded instance of all is the worst strategy, as all senders choose the same
	// one; the best of a few random ones is close to optimal (Mitzenmacher, "How useful is
	// old information?", 2000). Services with at most this many instances are considered
	// completely.
	sampleSize = 4
	// loadDivisor is the reciprocal of the weight of one report in a service's average
	// occupancy.
	loadDivisor = 16
	// loadHalfLife is the half-life of a service's average occupancy while no report comes.
	loadHalfLife = 2 * time.Second
)

// sampler selects at random which instances without a fresh report are considered.
type sampler struct {
	// ownZoneLeft and otherZonesLeft count the instances that were not offered to the sampler
	// yet, ownZoneWanted and otherZonesWanted how many of them are still to be selected.
	ownZoneLeft, ownZoneWanted       int
	otherZonesLeft, otherZonesWanted int
}

// newSampler counts the eligible instances to select from. It must count exactly the
// instances that are offered to the sampler later: counting more would select too few, or
// none.
func (b *Balancer) newSampler(request Request, eligible func(*snapshot.Instance) bool) *sampler {
	created := &sampler{ownZoneWanted: sampleSize, otherZonesWanted: sampleSize}
	for i := range request.Instances {
		instance := &request.Instances[i]
		if !eligible(instance) || b.stateOf(instance, request.Now).isFresh(request.Now) {
			continue
		}
		if b.isInOwnZone(instance) {
			created.ownZoneLeft++
		} else {
			created.otherZonesLeft++
		}
	}
	return created
}

// take reports whether the next instance is selected. Each is with the same probability
// (selection sampling).
func (s *sampler) take(b *Balancer, instance *snapshot.Instance) bool {
	left, wanted := &s.otherZonesLeft, &s.otherZonesWanted
	if b.isInOwnZone(instance) {
		left, wanted = &s.ownZoneLeft, &s.ownZoneWanted
	}
	if *wanted <= 0 {
		return false
	}
	selected := *wanted >= *left || b.options.Random.IntN(*left) < *wanted
	*left--
	if selected {
		*wanted--
	}
	return selected
}

// serviceLoad is the average occupancy of the instances of a service that reported lately.
type serviceLoad struct {
	// occupancy is the number of requests in progress over the number of slots, as of
	// updatedAt.
	occupancy float64
	updatedAt time.Time
}

func (b *Balancer) serviceLoadOf(service string) *serviceLoad {
	known := b.serviceLoads[service]
	if known == nil {
		if len(b.serviceLoads) >= maxRoutes {
			b.serviceLoads = make(map[string]*serviceLoad)
		}
		known = &serviceLoad{}
		b.serviceLoads[service] = known
	}
	return known
}

// record adds the load reported for one instance.
func (l *serviceLoad) record(report *hop.Report, now time.Time) {
	if report.Slots <= 0 {
		return
	}
	current := l.occupancyAt(now)
	reported := float64(report.Running+report.Waiting) / float64(report.Slots)
	l.occupancy, l.updatedAt = current+(reported-current)/loadDivisor, now
}

func (l *serviceLoad) occupancyAt(now time.Time) float64 {
	return l.occupancy * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(loadHalfLife))
}

// expectedLoad returns the likely load of an instance with the given number of slots.
func (l *serviceLoad) expectedLoad(slots int, now time.Time) int {
	return int(l.occupancyAt(now) * float64(slots))
}
