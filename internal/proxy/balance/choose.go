package balance

import "time"

const (
	// defaultSpillOver is the load above which requests leave this node's zone if the
	// route does not set one.
	defaultSpillOver = 0.8
	// maxSlowStartDraws bounds how often starting instances are skipped in one draw,
	// so that a service with only starting instances still gets requests.
	maxSlowStartDraws = 3
)

type eligibility func(*instance) bool

// pickByZone chooses among the eligible instances. With a zone preference it
// widens the scope (zone, region, all) until the chosen instance has a load below the
// spill-over load; if there is none, it returns the least loaded of those chosen.
func (b *Balancer) pickByZone(candidates []*instance, request Request, eligible eligibility) *instance {
	if !request.PreferZone {
		return b.pickOfTwo(candidates, request.Now, eligible)
	}
	spillOver := request.SpillOver
	if spillOver <= 0 {
		spillOver = defaultSpillOver
	}
	scopes := [...]eligibility{
		func(candidate *instance) bool { return b.inZone(candidate) && eligible(candidate) },
		func(candidate *instance) bool { return b.inRegion(candidate) && eligible(candidate) },
		eligible,
	}
	var best *instance
	for _, scope := range scopes {
		chosen := b.pickOfTwo(candidates, request.Now, scope)
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

// pickOfTwo returns the less loaded of two different random instances.
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

// lessLoaded returns the instance with the lower load, or first if they are equal.
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

// sample draws one eligible instance. An instance in slow start is skipped with the
// probability 1 - slowStartShareAt.
func (b *Balancer) sample(candidates []*instance, now time.Time, eligible eligibility) *instance {
	var drawn *instance
	for range maxSlowStartDraws {
		drawn = b.sampleEvenly(candidates, eligible)
		if drawn == nil || b.random.Float64() < drawn.slowStartShareAt(now) {
			return drawn
		}
	}
	return drawn
}

// sampleEvenly draws one eligible instance with equal probability: first a few random
// tries, which usually succeed if most instances are eligible, then one pass over all
// (reservoir sampling).
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
