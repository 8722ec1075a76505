package outbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
	"github.com/winchhead/winchhead/internal/suspects"
)

const (
	// slotWaitShare is the share of the target latency that may be spent waiting for a slot,
	// less the expected service time times serviceSpread.
	slotWaitShare = 0.8
	serviceSpread = 1.5
	// minWaitShare is the share of the target latency that may always be spent waiting.
	minWaitShare = 0.2
	startShare   = hop.StartShare

	// finalAttemptTargets is the number of target latencies of time left at which a caller cannot
	// retry after a refusal: its request waits for as long as it can still be answered.
	finalAttemptTargets = 2
)

// order returns the instructions for the instance's sidecar.
func (e *exchange) order(choice balance.Choice) hop.Order {
	remaining := time.Until(e.deadline)
	if remaining > 4*hopMargin && !choice.Local {
		remaining -= hopMargin
	}
	due, value := e.due(choice, remaining)
	limit := e.proxy.options.Statements.Get(choice.Instance.ID()).Limit()
	serviceTime := min(time.Duration(startShare*float64(choice.ServiceTime)), remaining/2)
	maxWait := callWait(e.call, e.maxWait(due, remaining), remaining, serviceTime)
	if limit.Stated && e.suspicion.standing != suspects.Suspected { // a suspected request has one candidate
		maxWait = min(maxWait, e.limitedWait(choice, due, remaining))
	}
	return hop.Order{
		Instance:        choice.Instance.Name,
		CallerService:   e.proxy.options.Service,
		Priority:        e.call.Priority,
		ValueRank:       int(value),
		Remaining:       remaining,
		Due:             due,
		MaxWait:         maxWait,
		ServiceTime:     serviceTime,
		MeanServiceTime: choice.MeanServiceTime,
		Revision:        uint64(e.current.Version().Revision),
		Repeatable:      e.route.MayRepeat(e.request.Method),
		OnlyCandidate:   !e.hasUntriedExcept(choice.Instance.Name),
		RepeatPercent:   e.repeatHundredths(),
		Failed:          e.nextKind == repeats.AfterFailure,
		Suspected:       e.suspicion.standing == suspects.Suspected,
		Tenant:          e.identity.Name(),
		KeyTag:          e.keyTag(),
		StatedLimit:     limit,
		Local:           choice.Local,
		Admission:       e.admission(choice, limit.Stated),
	}
}

// due returns how long the request may wait for a slot without losing value, and the value
// that it has until then.
func (e *exchange) due(choice balance.Choice, remaining time.Duration) (time.Duration, queue.Value) {
	if e.route.TargetLatency <= 0 {
		return remaining / 2, queue.ValueFull
	}
	allowed := allowedWait(e.route.TargetLatency, choice.ServiceTime)
	return dueOf(e.route.TargetLatency, allowed, time.Since(e.request.Arrived), e.elapsed())
}

// allowedWait returns how long a new request may wait for a slot and still be in time.
func allowedWait(target, serviceTime time.Duration) time.Duration {
	wait := time.Duration(slotWaitShare*float64(target) - serviceSpread*float64(serviceTime))
	return max(wait, time.Duration(minWaitShare*float64(target)))
}

// dueOf computes due from the target latency, the allowed wait, the time since this request
// arrived, and the time between the caller's first attempt and this one.
func dueOf(target, allowed, waited, elapsed time.Duration) (time.Duration, queue.Value) {
	minWait := min(time.Duration(minWaitShare*float64(target)), allowed)
	wait := allowed - waited
	switch {
	case wait <= 0:
		return 0, queue.ValueLate
	case elapsed == 0:
		return wait, queue.ValueFull
	case wait-elapsed >= minWait:
		return wait - elapsed, queue.ValueFull
	default:
		return wait, queue.ValueReduced
	}
}

// elapsed returns how long before this request the caller first sent it.
func (e *exchange) elapsed() time.Duration {
	if !e.caller.RetriesRefused || e.call.IsCall {
		return 0 // its shorter timeout has other reasons: a call ends with the request that it is made for
	}
	return e.caller.Elapsed
}

// maxWait returns how long the request may wait for a slot before another instance is tried,
// or its caller told to retry.
func (e *exchange) maxWait(due, remaining time.Duration) time.Duration {
	enabled := e.proxy.options.Mechanisms
	switch {
	case !enabled.EarlyRefusal, enabled.PatientCalls && !e.caller.RetriesRefused:
		return remaining
	case e.callerTimeout <= finalAttemptTargets*e.route.TargetLatency:
		return finalAttemptWait(due, remaining, e.proxy.callerRetries.Pressure(e.route.Name, time.Now()))
	default:
		return due
	}
}

// limitedWait returns how long the request may wait at an instance that states a limit: not at all while
// another instance states none. Otherwise no longer than it can be in time while requests are refused: a
// longer queue makes all answers late and serves none more.
func (e *exchange) limitedWait(choice balance.Choice, due, remaining time.Duration) time.Duration {
	if e.hasUnlimitedExcept(choice.Instance.Name) {
		return 0
	}
	return finalAttemptWait(due, remaining, e.proxy.callerRetries.Pressure(e.route.Name, time.Now()))
}

// finalAttemptWait returns how long a request waits whose caller has too little time to retry:
// until its deadline, but no longer than others while new requests find no slot either, as
// waiting would most likely be in vain.
func finalAttemptWait(due, remaining time.Duration, pressure float64) time.Duration {
	return due + time.Duration((1-min(pressure/retryafter.SaturatedPressure, 1))*float64(max(remaining-due, 0)))
}
