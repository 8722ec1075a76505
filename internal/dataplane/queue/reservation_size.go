package queue

import (
	"math"
	"time"
)

const (
	// maxIdleShare is the share of the slots that a reserve may leave idle on average.
	maxIdleShare = 0.08
	// maxOverdueShare is the share of higher-priority requests without a slot by their due time above which
	// the reserve grows; below minOverdueShare it shrinks.
	maxOverdueShare = 0.05
	minOverdueShare = 0.01
	// growInterval and shrinkInterval are the least times between a change of a reserve and its growth or
	// decline by one slot. The first is about how long a reserve takes to have an effect.
	growInterval   = 300 * time.Millisecond
	shrinkInterval = 2 * time.Second
)

// overdueWithinIdle adapts the reserve by feedback: it grows while higher-priority requests get their slots
// too late, shrinks while they do not, and never leaves more than maxIdleShare of the slots idle.
func overdueWithinIdle(at *boundary, slots int, now time.Time) int {
	return min(overdueFeedback(at, now), idleBound(at.load, slots))
}

// overdueFeedback returns the reserve changed by at most one slot.
func overdueFeedback(at *boundary, now time.Time) int {
	unchanged := now.Sub(at.changedAt)
	switch {
	case at.overdue > maxOverdueShare*at.waits && unchanged >= growInterval:
		return at.reserved + 1
	case at.overdue < minOverdueShare*at.waits && unchanged >= shrinkInterval:
		return max(at.reserved-1, 0)
	default:
		return at.reserved
	}
}

// idleBound returns the largest reserve that leaves at most maxIdleShare of the slots idle on average while
// lower-priority requests take all others. The number of slots that the higher-priority requests use at a
// moment is taken as Poisson-distributed with their load as mean and variance.
func idleBound(load float64, slots int) int {
	idle, below := 0.0, 0.0 // mean idle slots of the reserve, and the probability that fewer are used
	probability := math.Exp(-load)
	for reserve := range slots - 1 {
		below += probability
		idle += below // one more slot is idle whenever at most the reserve's other slots are used
		if idle > maxIdleShare*float64(slots) {
			return reserve
		}
		probability *= load / float64(reserve+1)
	}
	return slots - 1
}
