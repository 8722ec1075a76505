package balance

import "time"

const (
	// defaultSpillOver is the load above which requests leave the own zone when
	// the route says nothing.
	defaultSpillOver = 0.8
	// slowStartDraws bounds how often a starting instance is passed over in one
	// choice, so that a service of starting instances still takes work.
	slowStartDraws = 3
)

type eligibility func(*instance) bool

// pickByZone chooses among the eligible instances. With a zone preference it
// widens the circle (zone, region, all) until an instance has room, and takes
// the least loaded of those met when none has.
func (b *Balancer) pickByZone(candidates []*instance, request Request, eligible eligibility) *instance {
	if !request.PreferZone {
		return b.pickOfTwo(candidates, request.Now, eligible)
	}
	spillOver := request.SpillOver
	if spillOver <= 0 {
		spillOver = defaultSpillOver
	}
	circles := [...]eligibility{
		func(candidate *instance) bool { return b.inZone(candidate) && eligible(candidate) },
		func(candidate *instance) bool { return b.inRegion(candidate) && eligible(candidate) },
		eligible,
	}
	var best *instance
	for _, circle := range circles {
		chosen := b.pickOfTwo(candidates, request.Now, circle)
		best = lessLoaded(best, chosen, request.Now)
		if best != nil && best.loadAt(request.Now) < spillOver {
			return best
		}
	}
	return best
}

func (b *Balancer) inZone(candidate *instance) bool {
	return candidate.endpoint.Zone == b.zone && b.inRegion(candidate)
}

func (b *Balancer) inRegion(candidate *instance) bool {
	return candidate.endpoint.Region == b.region
}

// pickOfTwo takes the less loaded of two different random instances.
func (b *Balancer) pickOfTwo(candidates []*instance, now time.Time, eligible eligibility) *instance {
	first := b.sample(candidates, now, eligible)
	if first == nil {
		return nil
	}
	second := b.sample(candidates, now, func(candidate *instance) bool {
		return candidate != first && eligible(candidate)
	})
	return lessLoaded(first, second, now)
}

// lessLoaded returns the instance with the lower load, the first when equal.
// Either may be nil.
func lessLoaded(first, second *instance, now time.Time) *instance {
	switch {
	case first == nil:
		return second
	case second == nil:
		return first
	case second.loadAt(now) < first.loadAt(now):
		return second
	default:
		return first
	}
}

// sample draws one eligible instance. A starting instance is passed over with
// the share of work that it is not yet to get.
func (b *Balancer) sample(candidates []*instance, now time.Time, eligible eligibility) *instance {
	var drawn *instance
	for range slowStartDraws {
		drawn = b.sampleEvenly(candidates, eligible)
		if drawn == nil || b.random.Float64() < drawn.warmthAt(now) {
			return drawn
		}
	}
	return drawn
}

// sampleEvenly draws one eligible instance, all with equal chance: a few random
// tries, which succeed while most are eligible, then one pass over all.
func (b *Balancer) sampleEvenly(candidates []*instance, eligible eligibility) *instance {
	if len(candidates) == 0 {
		return nil
	}
	const tries = 2
	for range tries {
		drawn := candidates[b.random.IntN(len(candidates))]
		if eligible(drawn) {
			return drawn
		}
	}
	var chosen *instance
	seen := 0
	for _, candidate := range candidates {
		if !eligible(candidate) {
			continue
		}
		seen++
		if b.random.IntN(seen) == 0 {
			chosen = candidate
		}
	}
	return chosen
}
