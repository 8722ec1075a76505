package balance

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

const (
	// slowStart is how long it takes until a new instance gets its full share of
	// requests.
	slowStart = 10 * time.Second
	// minSlowStartShare is the share of requests that a new instance starts with.
	minSlowStartShare = 0.1
	// reportLifetime is how long a load report is used; its weight decreases linearly.
	reportLifetime = 3 * time.Second
	// maxReportedLoad bounds a reported load, which may be wrong. It is above 1 to
	// allow for long queues.
	maxReportedLoad = 4.0
	// penaltyLoad is recorded as the load of an instance after a refusal, and after a
	// failure if the instance cannot be ejected. An instance that refuses or fails at
	// once has few requests in flight and would otherwise attract most requests.
	penaltyLoad = maxReportedLoad
	// defaultSlots is assumed for instances that do not report their slots.
	defaultSlots = 10
	// leavingLifetime is how long an instance that reported draining is avoided. It is
	// long enough for the view to be updated.
	leavingLifetime = 3 * time.Second
	// failuresToEject is how many consecutive failures eject an instance.
	failuresToEject = 3
	// baseEjectionTime is how long the first ejection lasts; each further one lasts
	// twice as long, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
)

// class is the preference order of instances: a class is used only if no instance of
// an earlier one is eligible.
type class uint8

const (
	classHealthy class = iota + 1
	classSuspected
	classEjected
	classLeaving
)

// instance stores what this node observed about one process.
type instance struct {
	key      Key
	endpoint membership.Endpoint
	inFlight int

	// startedAt is when the slow start began; zero: no slow start.
	startedAt time.Time

	reportedLoad     float64
	reportedAt       time.Time
	inFlightAtReport int

	leavingUntil time.Time
	failures     int // consecutive
	ejections    int // since the last success
	ejectedUntil time.Time
}

// classAt returns the class at the given time. Draining and ended instances are not in
// the view; classLeaving is for those whose state this node learned before the view
// was updated.
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

// slowStartShareAt returns the share (0 to 1) of its regular requests that the instance
// should get.
func (i *instance) slowStartShareAt(now time.Time) float64 {
	if i.startedAt.IsZero() {
		return 1
	}
	age := now.Sub(i.startedAt)
	if age >= slowStart {
		return 1
	}
	return max(minSlowStartShare, float64(age)/float64(slowStart))
}

// setLoad records a load, as a share of the slots.
func (i *instance) setLoad(load float64, now time.Time) {
	i.reportedLoad = load
	i.reportedAt = now
	i.inFlightAtReport = i.inFlight
}

// loadAt estimates the used share of the slots. It is based on the last report while
// that is fresh, corrected by the requests that this node began and ended since then,
// and is at least the share used by this node's requests in flight.
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
