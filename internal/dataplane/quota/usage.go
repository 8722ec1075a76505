package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// usageWindow is the time over which the rates of a Usage are averaged.
const usageWindow = 5 * time.Second

// Usage is what the requests of a tenant that started at one node had of its quota. Tenants are forgotten
// some seconds after their last request.
type Usage struct {
	Tenant string
	// AdmittedPerSecond and RefusedPerSecond are averages over the last seconds.
	AdmittedPerSecond, RefusedPerSecond float64
	// DecidedBy is where the last decision came from, DecidedAgo its age.
	DecidedBy  Source
	DecidedAgo time.Duration
}

// Usage returns the usage of the tenants with a quota that sent requests lately, the busiest first.
func (l *Limiter) Usage() []Usage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	all := make([]Usage, 0, len(l.caches))
	for tenant, held := range l.caches {
		all = append(all, Usage{
			Tenant: tenant, AdmittedPerSecond: held.admitted.rate(now), RefusedPerSecond: held.refused.rate(now),
			DecidedBy: held.decidedBy, DecidedAgo: now.Sub(held.decidedAt),
		})
	}
	slices.SortFunc(all, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.requestsPerSecond(), a.requestsPerSecond()), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all
}

func (u Usage) requestsPerSecond() float64 { return u.AdmittedPerSecond + u.RefusedPerSecond }

// decayingCount counts events, weighted by age.
type decayingCount struct {
	weight    float64
	updatedAt time.Time
}

func (c *decayingCount) add(now time.Time) {
	c.weight = c.at(now) + 1
	c.updatedAt = now
}

func (c *decayingCount) at(now time.Time) float64 {
	return c.weight * math.Exp(-now.Sub(c.updatedAt).Seconds()/usageWindow.Seconds())
}

// rate returns the events per second.
func (c *decayingCount) rate(now time.Time) float64 { return c.at(now) / usageWindow.Seconds() }
