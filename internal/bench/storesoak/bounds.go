package storesoak

import (
	"slices"
	"time"
)

const (
	// applyTimeout is how long after its acknowledgement a change may take to be in force.
	applyTimeout = 2 * time.Second
	// refusalExtension is how much longer it may take while the store refuses some machines.
	refusalExtension = 5 * time.Second
)

// applyBound returns how long after its acknowledgement a change may take at a machine, for
// requests between from and to; false if no bound applies then.
func (h *history) applyBound(machine int, from, to time.Time) (time.Duration, bool) {
	return h.applyBoundAfter(machine, from, to, time.Time{})
}

// applyBoundAfter is applyBound for a change that must be in force since inForce: a restore of
// the store that begins later does not suspend its bound. Zero: no such time.
func (h *history) applyBoundAfter(machine int, from, to, inForce time.Time) (time.Duration, bool) {
	allowed := applyTimeout
	for _, each := range h.during(from, to) {
		switch {
		case each.fault.storeState == storeRestored && !inForce.IsZero() && each.from.After(inForce):
		case slices.Contains(each.fault.impaired, machine), each.fault.storeState == storeUnavailable, each.fault.storeState == storeRestored:
			return 0, false
		case each.fault.storeState == storeRefusing:
			allowed = applyTimeout + refusalExtension
		}
	}
	return allowed, true
}

// isImpaired reports whether, between from and to, the process or the links of a machine were
// disturbed or the store served no machine.
func (h *history) isImpaired(machine int, from, to time.Time) bool {
	_, bounded := h.applyBound(machine, from, to)
	return !bounded
}
