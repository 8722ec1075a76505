// Package admission decides, without input or output, what becomes of a request that finds no free slot:
// it waits while it can be in time; it waits behind the others while the forecast says that it still starts by
// its latest start; otherwise it is rejected now. Services are known to be full by the share of rejections
// among their latest reports.
package admission

import "time"

// Decision is what becomes of a request.
type Decision uint8

// The decisions.
const (
	// Wait: the request waits among those that can be in time.
	Wait Decision = 1
	// WaitLate: the request can only be late, and waits behind those that can be in time.
	WaitLate Decision = 2
	// Reject: the request would most likely not start by its latest start.
	Reject Decision = 3
)

const (
	// admissionShare is the share of the time to its latest start by which a late request must be forecast to
	// start to begin to wait. It may go on waiting up to its latest start: a forecast that varies a little
	// admits no requests that it rejects a moment later.
	admissionShare = 0.8
	// minFreeShare is the share of the slots below which the rest that other requests leave counts as
	// nothing: the measured slot time varies by more.
	minFreeShare = 0.02
)

// Backlog is what a late request waits for.
type Backlog struct {
	Slots int
	// Ahead is the slot time of the requests that are served before it; zero if it can start now.
	Ahead time.Duration
	// Overtaking is the number of slots that requests which go ahead of it keep taking as they arrive.
	Overtaking float64
}

// Forecast returns how long the request will wait. ok is false if the slots leave nothing for it.
func (b Backlog) Forecast() (wait time.Duration, ok bool) {
	if b.Ahead <= 0 {
		return 0, true
	}
	free := float64(b.Slots) - b.Overtaking
	if free < minFreeShare*float64(b.Slots) {
		return 0, false
	}
	return time.Duration(float64(b.Ahead) / free), true
}

// Shorter returns the one of two backlogs with the shorter forecast.
func (b Backlog) Shorter(other Backlog) Backlog {
	wait, ok := b.Forecast()
	if otherWait, otherOK := other.Forecast(); otherOK && (!ok || otherWait < wait) {
		return other
	}
	return b
}

// Admits reports whether a late request may begin to wait that must start within left.
func (b Backlog) Admits(left time.Duration) bool {
	wait, ok := b.Forecast()
	return ok && wait <= time.Duration(admissionShare*float64(left))
}

// Keeps reports whether a late request that waits may go on.
func (b Backlog) Keeps(left time.Duration) bool {
	wait, ok := b.Forecast()
	return ok && wait <= left
}

// Arrival is a request that asks for a slot.
type Arrival struct {
	// InTime is what it would wait for among the requests that can be in time, MayWait how long it may wait
	// there and still be in time.
	InTime  Backlog
	MayWait time.Duration
	// Left is the time to its latest start.
	Left time.Duration
	// Elsewhere is set if another instance may serve it in time.
	Elsewhere bool
	// Late is what it would wait for behind the requests that can be in time.
	Late Backlog
}

// Decide returns what becomes of the request.
func (a Arrival) Decide() Decision {
	wait, ok := a.InTime.Forecast()
	switch {
	case ok && wait <= min(a.MayWait, a.Left):
		return Wait
	case a.Late.Ahead <= 0: // it does not wait: a slot is free, and no other request is served before it
		return WaitLate
	case a.Elsewhere, !a.Late.Admits(a.Left):
		return Reject
	default:
		return WaitLate
	}
}

// RetryIn returns after how long a request that was rejected finds capacity, by the forecast. Without any
// capacity in sight it is the whole time to its latest start: as late as the caller may retry.
func (a Arrival) RetryIn() time.Duration {
	late, lateOK := a.Late.Forecast()
	wait, ok := a.InTime.Forecast()
	if !lateOK || !ok {
		return a.Left
	}
	return min(max(late-a.Left, wait-a.MayWait, 0), a.Left)
}
