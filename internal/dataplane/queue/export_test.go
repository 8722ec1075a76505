package queue

import "time"

// SetFairness replaces how slots are shared between tenants.
func (q *Queue) SetFairness(fair fairness) { q.fairness = fair }

// NoShares is the fairness of a queue that knows no tenants.
type NoShares struct{}

func (NoShares) arrived(Ticket, time.Time)      {}
func (NoShares) granted(Ticket, time.Time)      {}
func (NoShares) exceeds(Ticket, time.Time) bool { return false }

// EqualShares divides what was granted to all tenants by their number.
type EqualShares struct{ shares maxMinShares }

// NewEqualShares returns EqualShares without loads.
func NewEqualShares() EqualShares { return EqualShares{maxMinShares{}} }

func (s EqualShares) arrived(ticket Ticket, now time.Time) { s.shares.arrived(ticket, now) }
func (s EqualShares) granted(ticket Ticket, now time.Time) { s.shares.granted(ticket, now) }

func (s EqualShares) exceeds(ticket Ticket, now time.Time) bool {
	if ticket.Tenant == "" {
		return false
	}
	loads, all := s.shares.of(ticket, now), 0.0
	for _, load := range loads.byTenant {
		all += load.granted
	}
	load, known := loads.byTenant[ticket.Tenant]
	return known && load.granted > all/float64(len(loads.byTenant))+ticket.cost.Seconds()
}
