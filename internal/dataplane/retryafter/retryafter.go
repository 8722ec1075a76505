// Package retryafter decides when a caller whose request was not run should send it again. The cause
// of the refusal decides: while a service is full, an early retry takes a slot from another request
// and is refused in turn, but a service that rejects requests while it has free slots may accept the
// next one at once.
package retryafter

import "time"

// Cause is why a request was refused.
type Cause uint8

// The causes.
const (
	// Full: the instances that were asked have no free slot.
	Full Cause = 1
	// Rejected: the instances that were asked rejected the request although they had free slots.
	Rejected Cause = 2
	// NoInstance: no instance of the service is ready.
	NoInstance Cause = 3
)

const (
	// Min and Max bound the wait.
	Min = 50 * time.Millisecond
	Max = 2 * time.Second
	// noInstanceWait is the wait while no instance is ready: one starts, or a zone is taken back into
	// service, within seconds at best.
	noInstanceWait = time.Second
	// leftShare is the share of the caller's remaining time that may pass before it retries, so that
	// enough is left to be served then.
	leftShare = 0.25
	// SaturatedPressure is the pressure from which callers of a full service retry as late as they can.
	SaturatedPressure = 0.3
	// rejectingPressure is the pressure up to which callers of a rejecting service retry at once, and
	// hopelessPressure that from which they retry as late as they can: a retry is then rejected like
	// the request before, and only a later one may find the service well again.
	rejectingPressure, hopelessPressure = 0.7, 0.95
)

// Refusal is a refused request.
type Refusal struct {
	Cause Cause
	// NextSlot is when a slot is expected to be free; zero if that is not known.
	NextSlot time.Duration
	// Left is how long the caller still waits for an answer.
	Left time.Duration
	// Pressure is the share of the new requests of the route that were refused recently, from 0 to 1.
	Pressure float64
}

// Wait returns how long the caller should wait before it sends the request again.
func (r Refusal) Wait() time.Duration {
	earliest := min(max(r.NextSlot, Min), Max)
	switch r.Cause {
	case NoInstance:
		return noInstanceWait
	case Rejected:
		return between(Min, r.latest(Min), (r.Pressure-rejectingPressure)/(hopelessPressure-rejectingPressure))
	default:
		return between(earliest, r.latest(earliest), r.Pressure/SaturatedPressure)
	}
}

// latest returns the latest useful time of a retry.
func (r Refusal) latest(earliest time.Duration) time.Duration {
	return min(max(time.Duration(leftShare*float64(r.Left)), earliest), Max)
}

// between returns the point between two durations at a share, which is limited to 0 to 1.
func between(earliest, latest time.Duration, share float64) time.Duration {
	return earliest + time.Duration(min(max(share, 0), 1)*float64(latest-earliest))
}
