package balance

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

const (
	// slowStart is how long a new instance takes to get its full share of work.
	slowStart = 10 * time.Second
	// minimumWarmth is the share a new instance starts with.
	minimumWarmth = 0.1
	// reportLifetime is how long a load report counts; its weight falls evenly.
	reportLifetime = 3 * time.Second
	// maximumReport bounds a reported load, which may be wrong. It leaves room for
	// long queues.
	maximumReport = 4.0
	// refusedLoad stands in for a report after a refusal, and after a failure of an
	// instance that cannot be ejected: one that answers so at once has nothing in
	// flight, and would otherwise draw the work of the sound ones.
	refusedLoad = maximumReport
	// defaultSlots stands in for instances that do not tell their slots.
	defaultSlots = 10
	// leavingLifetime is how long an instance that said it drains is passed over:
	// long enough for the view to say the same.
	leavingLifetime = 3 * time.Second
	// failuresToEject is how many failures in a row eject an instance.
	failuresToEject = 3
	// firstEjection and longestEjection bound how long an ejection lasts; it
	// doubles each time.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
)

// class orders instances: a class is used only when those before it are empty.
type class uint8

const (
	classHealthy class = iota + 1
	classSuspected
	classEjected
	classLeaving
)

// instance is what this node observed about one process.
type instance struct {
	key      Key
	endpoint membership.Endpoint
	inFlight int

	// startedAt is when a slow start began; zero: none.
	startedAt time.Time

	reportedLoad     float64
	reportedAt       time.Time
	inFlightAtReport int

	leavingUntil time.Time
	failures     int // in a row
	ejections    int // without a success in between
	ejectedUntil time.Time
}

// classAt returns the class at that time. A gone or draining instance is not in
// the view; leaving tells that this node learnt it before the view.
func (i *instance) classAt(now time.Time) class {
	switch {
	case i.leavingAt(now):
		return classLeaving
	case i.ejectedAt(now):
		return classEjected
	case i.endpoint.Suspected:
		return classSuspected
	default:
		return classHealthy
	}
}

func (i *instance) leavingAt(now time.Time) bool { return now.Before(i.leavingUntil) }

func (i *instance) ejectedAt(now time.Time) bool { return now.Before(i.ejectedUntil) }

// warmthAt returns the share of work (0 to 1) that the instance is ready for.
func (i *instance) warmthAt(now time.Time) float64 {
	if i.startedAt.IsZero() {
		return 1
	}
	age := now.Sub(i.startedAt)
	if age >= slowStart {
		return 1
	}
	return max(minimumWarmth, float64(age)/float64(slowStart))
}

// count takes over a load, as a share of the slots.
func (i *instance) count(load float64, now time.Time) {
	i.reportedLoad = load
	i.reportedAt = now
	i.inFlightAtReport = i.inFlight
}

// loadAt estimates the used share of the slots: the last report while it is
// fresh, corrected by what this node began and ended since, and at least the own
// requests in flight.
func (i *instance) loadAt(now time.Time) float64 {
	slots := i.endpoint.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	own := float64(i.inFlight) / float64(slots)
	age := now.Sub(i.reportedAt)
	if age >= reportLifetime {
		return own
	}
	freshness := 1 - float64(age)/float64(reportLifetime)
	since := float64(i.inFlight-i.inFlightAtReport) / float64(slots)
	return max(own, i.reportedLoad*freshness+since)
}
