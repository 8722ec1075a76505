package queue

import (
	"math"
	"time"
)

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

// ReserveMeanPlus reserves the mean load of the higher priorities plus a number of its standard deviations.
func (q *Queue) ReserveMeanPlus(deviations float64) {
	q.reservation = newReservation(func(at *boundary, _ int, _ time.Time) int {
		return int(math.Round(at.load + deviations*math.Sqrt(at.load)))
	})
}

// ReserveByFeedback adapts the reserve by feedback without a bound on the slots that it leaves idle.
func (q *Queue) ReserveByFeedback() {
	q.reservation = newReservation(func(at *boundary, _ int, now time.Time) int { return overdueFeedback(at, now) })
}

// ReserveIdleBound reserves the most that leaves few slots idle, needed or not.
func (q *Queue) ReserveIdleBound() {
	q.reservation = newReservation(func(at *boundary, slots int, _ time.Time) int { return idleBound(at.load, slots) })
}

// HeldFrom returns the number of slots held by a priority and all lower ones, and their limit.
func (q *Queue) HeldFrom(priority int) (held, limit int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, load := range q.reservation.loads[classOf(priority):] {
		held += load.running
	}
	return held, q.reservation.usable(priority, q.slots)
}

// ReserveFixed reserves a number of slots for each priority from all lower ones, whatever the load.
func (q *Queue) ReserveFixed(slots int) {
	q.reservation = newReservation(func(*boundary, int, time.Time) int { return slots })
}

// Overdue returns the number of requests ahead of a priority that got no slot by their due time, weighted by age.
func (q *Queue) Overdue(priority int) float64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.reservation.boundaries[classOf(priority)].overdue
}
