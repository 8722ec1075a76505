package outbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
	"github.com/winchhead/winchhead/internal/suspects"
)

const (
	// waitShare of the target latency, less what the instance needs with some
	// spread (serviceSpread), may be waited for a slot.
	waitShare     = 0.8
	serviceSpread = 1.5
	// leastWaitShare of the target latency may always be waited.
	leastWaitShare = 0.2
	// startShare of the expected service time must be left when the instance
	// begins; with less, its work would most likely be for nothing.
	startShare = 0.7

	// finalAttemptTargets targets of time left are too few for a caller to come back after
	// a refusal: its request waits for as long as it can still be answered.
	finalAttemptTargets = 2
)

// order tells the node beside the instance what to do.
func (e *exchange) order(choice balance.Choice) hop.Order {
	remaining := time.Until(e.deadline)
	if remaining > 4*hopMargin && !choice.Local {
		remaining -= hopMargin
	}
	due, value := e.due(choice, remaining)
	return hop.Order{
		Instance:      choice.Instance.Name,
		CallerService: e.proxy.options.Service,
		Priority:      e.route.Priority,
		Value:         int(value),
		Remaining:     remaining,
		Due:           due,
		MaxWait:       e.maxWait(due, remaining),
		Expected:      min(time.Duration(startShare*float64(choice.ServiceTime)), remaining/2),
		Ordinary:      choice.MeanServiceTime,
		Revision:      uint64(e.current.Version().Revision),
		Repeatable:    e.route.MayRepeat(e.request.Method),
		OnlyCandidate: !e.hasOther(choice.Instance.Name),
		Repeat:        e.repeatShare(),
		Failed:        e.lastArrival == repeats.AfterFailure,
		Suspected:     e.suspicion.standing == suspects.Suspected,
	}
}

// due is how long the request may wait for a slot and still be worth as much as can
// be, and how much that is.
func (e *exchange) due(choice balance.Choice, remaining time.Duration) (time.Duration, queue.Value) {
	if e.route.TargetLatency <= 0 {
		return remaining / 2, queue.Full
	}
	allowed := allowedWait(e.route.TargetLatency, choice.ServiceTime)
	return dueOf(e.route.TargetLatency, allowed, time.Since(e.request.Arrived), e.elapsed())
}

// allowedWait is how long a new request may wait for a slot and still be in time.
func allowedWait(target, service time.Duration) time.Duration {
	wait := time.Duration(waitShare*float64(target) - serviceSpread*float64(service))
	return max(wait, time.Duration(leastWaitShare*float64(target)))
}

// dueOf is due for a target latency, the wait that is allowed, the time since this
// attempt came in, and the time between the caller's first attempt and this one.
func dueOf(target, allowed, waited, elapsed time.Duration) (time.Duration, queue.Value) {
	least := min(time.Duration(leastWaitShare*float64(target)), allowed)
	wait := allowed - waited
	switch {
	case wait <= 0:
		return 0, queue.Late
	case elapsed == 0:
		return wait, queue.Full
	case wait-elapsed >= least:
		return wait - elapsed, queue.Full
	default:
		return wait, queue.Reduced
	}
}

// elapsed is how long before this attempt the caller first sent the request.
func (e *exchange) elapsed() time.Duration {
	if !e.caller.RetriesRefused {
		return 0 // it has less time than others for other reasons
	}
	return e.caller.Elapsed
}

// maxWait is how long the request may wait for a slot before another instance is
// asked, or its caller told to come back.
func (e *exchange) maxWait(due, remaining time.Duration) time.Duration {
	on := e.proxy.options.Mechanisms
	switch {
	case !on.EarlyRefusal, on.PatientCalls && !e.caller.RetriesRefused:
		return remaining
	case e.callerTime <= finalAttemptTargets*e.route.TargetLatency:
		return lastWait(due, remaining, e.proxy.callers.Pressure(e.route.Name, time.Now()))
	default:
		return due
	}
}

// lastWait is how long a request waits whose caller has too little time to come back:
// for as long as it can be answered, but no longer than others where those who come
// after find no slot either, as it would most likely be held for nothing.
func lastWait(due, remaining time.Duration, pressure float64) time.Duration {
	return due + time.Duration((1-min(pressure/fullPressure, 1))*float64(max(remaining-due, 0)))
}
