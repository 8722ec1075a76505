package configuration

import (
	"time"

	"github.com/winchhead/winchhead/internal/policy"
)

// DefaultHold is how long a new answer to a condition must hold before it takes
// effect. It is longer than a restart of an instance takes to be noticed and
// short against the seconds in which a change of the fleet has to show.
const DefaultHold = 3 * time.Second

// Hysteresis keeps the answers to conditions steady: an answer changes only when
// the fleet has said otherwise, without a break, for the hold. It is a state
// machine without a clock; now must not go back. It implements policy.Evaluator.
type Hysteresis struct {
	hold   time.Duration
	states map[policy.Condition]conditionState
}

// conditionState is the answer in effect and since when the fleet says otherwise.
type conditionState struct {
	holds          bool
	differs        bool
	differingSince time.Time
}

// NewHysteresis returns a Hysteresis that tracks no condition yet.
func NewHysteresis(hold time.Duration) Hysteresis { return Hysteresis{hold: hold} }

// Tracking returns a Hysteresis for exactly the given conditions. Those already
// tracked keep their state; new ones take the answer of the fleet as it is.
func (h Hysteresis) Tracking(conditions []policy.Condition, fleet policy.FleetView) Hysteresis {
	next := Hysteresis{hold: h.hold, states: make(map[policy.Condition]conditionState, len(conditions))}
	for _, condition := range conditions {
		state, tracked := h.states[condition]
		if !tracked {
			state = conditionState{holds: condition.HoldsIn(fleet)}
		}
		next.states[condition] = state
	}
	return next
}

// Observe takes the fleet as it is now and returns the Hysteresis that follows,
// and whether any answer in effect changed.
func (h Hysteresis) Observe(fleet policy.FleetView, now time.Time) (next Hysteresis, changed bool) {
	next = Hysteresis{hold: h.hold, states: make(map[policy.Condition]conditionState, len(h.states))}
	for condition, state := range h.states {
		followed := state.observe(condition.HoldsIn(fleet), now, h.hold)
		changed = changed || followed.holds != state.holds
		next.states[condition] = followed
	}
	return next, changed
}

func (s conditionState) observe(holds bool, now time.Time, hold time.Duration) conditionState {
	if holds == s.holds {
		return conditionState{holds: s.holds}
	}
	if !s.differs {
		s = conditionState{holds: s.holds, differs: true, differingSince: now}
	}
	if now.Sub(s.differingSince) >= hold {
		return conditionState{holds: holds}
	}
	return s
}

// Deadline returns when the next answer changes if the fleet stays as it is.
func (h Hysteresis) Deadline() (deadline time.Time, pending bool) {
	for _, state := range h.states {
		if !state.differs {
			continue
		}
		due := state.differingSince.Add(h.hold)
		if !pending || due.Before(deadline) {
			deadline, pending = due, true
		}
	}
	return deadline, pending
}

// Holds returns the answer in effect; a condition that is not tracked does not
// hold.
func (h Hysteresis) Holds(condition policy.Condition) bool { return h.states[condition].holds }
