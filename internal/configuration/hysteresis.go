package configuration

import (
	"time"

	"github.com/winchhead/winchhead/internal/policy"
)

// DefaultHoldTime is how long a condition must have a new result before it takes
// effect. It is longer than it takes to notice that an instance restarted, and
// short compared with the seconds within which a change of the fleet must take
// effect.
const DefaultHoldTime = 3 * time.Second

// Hysteresis damps the results of conditions: a result changes only after the
// fleet has continuously given the opposite one for the hold time. It is an
// immutable state machine without a clock of its own; the times passed to it must
// not decrease. It implements policy.Evaluator.
type Hysteresis struct {
	holdTime time.Duration
	states   map[policy.Condition]conditionState
}

// conditionState is the result in effect and, if the fleet gives the opposite one,
// since when.
type conditionState struct {
	holds          bool
	differs        bool
	differingSince time.Time
}

// NewHysteresis returns a Hysteresis that tracks no condition yet.
func NewHysteresis(holdTime time.Duration) Hysteresis { return Hysteresis{holdTime: holdTime} }

// Tracking returns a Hysteresis for exactly the given conditions. Those already
// tracked keep their state; new ones start with the present result.
func (h Hysteresis) Tracking(conditions []policy.Condition, fleet policy.FleetView) Hysteresis {
	next := Hysteresis{holdTime: h.holdTime, states: make(map[policy.Condition]conditionState, len(conditions))}
	for _, condition := range conditions {
		state, tracked := h.states[condition]
		if !tracked {
			state = conditionState{holds: condition.HoldsIn(fleet)}
		}
		next.states[condition] = state
	}
	return next
}

// Observe evaluates the conditions for the present fleet and returns the next
// state, and whether any result in effect changed.
func (h Hysteresis) Observe(fleet policy.FleetView, now time.Time) (next Hysteresis, changed bool) {
	next = Hysteresis{holdTime: h.holdTime, states: make(map[policy.Condition]conditionState, len(h.states))}
	for condition, state := range h.states {
		observed := state.observe(condition.HoldsIn(fleet), now, h.holdTime)
		changed = changed || observed.holds != state.holds
		next.states[condition] = observed
	}
	return next, changed
}

func (s conditionState) observe(holds bool, now time.Time, holdTime time.Duration) conditionState {
	if holds == s.holds {
		return conditionState{holds: s.holds}
	}
	if !s.differs {
		s = conditionState{holds: s.holds, differs: true, differingSince: now}
	}
	if now.Sub(s.differingSince) >= holdTime {
		return conditionState{holds: holds}
	}
	return s
}

// Deadline returns when the next result changes if the fleet stays as it is, and
// whether any will.
func (h Hysteresis) Deadline() (deadline time.Time, pending bool) {
	for _, state := range h.states {
		if !state.differs {
			continue
		}
		due := state.differingSince.Add(h.holdTime)
		if !pending || due.Before(deadline) {
			deadline, pending = due, true
		}
	}
	return deadline, pending
}

// Holds returns the result in effect, which is false for a condition that is not
// tracked.
func (h Hysteresis) Holds(condition policy.Condition) bool { return h.states[condition].holds }
