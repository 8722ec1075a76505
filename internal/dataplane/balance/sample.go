package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// sampleSize is how many instances without a fresh report are considered for a
	// choice, in the own zone and in the others each. With old information the least
	// loaded of all is the worst choice, as all senders make the same one; the best of a
	// few drawn by lot is close to the best that can be had (Mitzenmacher, "How useful is
	// old information?", 2000). Services of up to so many instances are considered whole.
	sampleSize = 4
	// loadWeight is the weight of one report in the usual load of a service: one in so
	// many.
	loadWeight = 16
	// loadHalfLife is how fast the usual load is forgotten while nothing is reported.
	loadHalfLife = 2 * time.Second
)

// sampling draws, by lot, which instances without a fresh report are considered.
type sampling struct {
	// nearLeft and farLeft are how many are yet to be looked at, nearWanted and
	// farWanted how many of them are yet to be taken.
	nearLeft, nearWanted int
	farLeft, farWanted   int
}

// sample counts the eligible instances from which to draw. It must count just those that
// are later looked at: counting more would draw too few, or none.
func (b *Balancer) sample(request Request, eligible func(*snapshot.Instance) bool) *sampling {
	drawn := &sampling{nearWanted: sampleSize, farWanted: sampleSize}
	for i := range request.Instances {
		instance := &request.Instances[i]
		if !eligible(instance) || b.stateOf(instance, request.Now).isFresh(request.Now) {
			continue
		}
		if b.isNear(instance) {
			drawn.nearLeft++
		} else {
			drawn.farLeft++
		}
	}
	return drawn
}

// take reports whether the next instance is among those drawn: each is with the same
// probability (selection sampling).
func (s *sampling) take(b *Balancer, instance *snapshot.Instance) bool {
	left, wanted := &s.farLeft, &s.farWanted
	if b.isNear(instance) {
		left, wanted = &s.nearLeft, &s.nearWanted
	}
	if *wanted <= 0 {
		return false
	}
	taken := *wanted >= *left || b.options.Random.IntN(*left) < *wanted
	*left--
	if taken {
		*wanted--
	}
	return taken
}

// serviceLoad is how busy the instances of a service were that reported lately.
type serviceLoad struct {
	// share is the requests in progress over the slots, as of notedAt.
	share   float64
	notedAt time.Time
}

func (b *Balancer) loadOf(service string) *serviceLoad {
	known := b.loads[service]
	if known == nil {
		if len(b.loads) >= maxRoutes {
			b.loads = make(map[string]*serviceLoad)
		}
		known = &serviceLoad{}
		b.loads[service] = known
	}
	return known
}

// note takes over the load of one instance.
func (l *serviceLoad) note(report *hop.Report, now time.Time) {
	if report.Slots <= 0 {
		return
	}
	current := l.at(now)
	reported := float64(report.Running+report.Waiting) / float64(report.Slots)
	l.share, l.notedAt = current+(reported-current)/loadWeight, now
}

func (l *serviceLoad) at(now time.Time) float64 {
	return l.share * math.Exp2(-float64(now.Sub(l.notedAt))/float64(loadHalfLife))
}

// usual is the load that an instance with so many slots most likely has.
func (l *serviceLoad) usual(slots int, now time.Time) int {
	return int(l.at(now) * float64(slots))
}
