package queue

import (
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the time over which the loads of tenants are averaged.
	shareWindow = 2 * time.Second
	// shareInterval is how often the fair share is computed anew, so that its cost does not grow with the
	// requests.
	shareInterval = 50 * time.Millisecond
	// negligibleLoad is the load, in slot seconds, below which a tenant is forgotten.
	negligibleLoad = 1e-4
)

// fairness decides which requests are beyond the fair share of their tenant. Requests without a tenant
// have no share.
type fairness interface {
	// arrived counts a request that asks for a slot.
	arrived(ticket Ticket, now time.Time)
	// granted counts a request that got one.
	granted(ticket Ticket, now time.Time)
	// exceeds reports whether the tenant of a request has had more than its fair share, by more than this
	// one request.
	exceeds(ticket Ticket, now time.Time) bool
}

// maxMinShares divides the slot time that the tenants of one priority get by max-min fairness: a tenant
// that asks for less than an equal part gets all of it, and what it leaves is divided among the others.
type maxMinShares map[int]*tenantLoads // by priority

func (s maxMinShares) arrived(ticket Ticket, now time.Time) {
	if ticket.Tenant != "" {
		s.of(ticket, now).at(ticket.Tenant).demand += ticket.cost.Seconds()
	}
}

func (s maxMinShares) granted(ticket Ticket, now time.Time) {
	if ticket.Tenant != "" {
		s.of(ticket, now).at(ticket.Tenant).granted += ticket.cost.Seconds()
	}
}

func (s maxMinShares) exceeds(ticket Ticket, now time.Time) bool {
	if ticket.Tenant == "" {
		return false
	}
	loads := s.of(ticket, now)
	load, known := loads.byTenant[ticket.Tenant]
	return known && load.granted > loads.share+ticket.cost.Seconds()
}

// of returns the loads of the priority of a request at a time.
func (s maxMinShares) of(ticket Ticket, now time.Time) *tenantLoads {
	loads, known := s[ticket.Priority]
	if !known {
		loads = &tenantLoads{byTenant: make(map[string]*tenantLoad), updatedAt: now, share: math.Inf(1)}
		s[ticket.Priority] = loads
	}
	if now.Sub(loads.updatedAt) >= shareInterval {
		loads.decay(now)
		loads.share = loads.fairShare()
	}
	return loads
}

// tenantLoads are the loads of the tenants of one priority.
type tenantLoads struct {
	byTenant map[string]*tenantLoad
	// share is the fair share as of updatedAt.
	share     float64
	updatedAt time.Time
}

// tenantLoad is the slot time in seconds that a tenant asked for and got, weighted by age.
type tenantLoad struct{ demand, granted float64 }

// decay reduces the loads by their age.
func (l *tenantLoads) decay(now time.Time) {
	factor := math.Exp(-now.Sub(l.updatedAt).Seconds() / shareWindow.Seconds())
	l.updatedAt = now
	for tenant, load := range l.byTenant {
		load.demand *= factor
		load.granted *= factor
		if load.demand < negligibleLoad && load.granted < negligibleLoad {
			delete(l.byTenant, tenant)
		}
	}
}

func (l *tenantLoads) at(tenant string) *tenantLoad {
	load, known := l.byTenant[tenant]
	if !known {
		load = &tenantLoad{}
		l.byTenant[tenant] = load
	}
	return load
}

// fairShare returns the most that any tenant gets if all that was granted is divided by max-min fairness.
// It is infinite while all get what they ask for.
func (l *tenantLoads) fairShare() float64 {
	remaining := 0.0
	demands := make([]float64, 0, len(l.byTenant))
	for _, load := range l.byTenant {
		remaining += load.granted
		demands = append(demands, load.demand)
	}
	slices.Sort(demands)
	for i, demand := range demands {
		if share := remaining / float64(len(demands)-i); demand > share {
			return share
		}
		remaining -= demand
	}
	return math.Inf(1)
}
