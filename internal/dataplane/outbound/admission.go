package outbound

import (
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
	"github.com/winchhead/winchhead/internal/suspects"
)

// usesAdmission reports whether the request is admitted by forecast. Without a target latency, no answer is
// late. A call of an instance, or of another caller that does not retry, is worth a longer wait and more tries:
// the request that it is made for fails with it.
func (e *exchange) usesAdmission() bool {
	return e.proxy.options.Mechanisms.Admission && !e.call.IsCall && e.caller.RetriesRefused && e.route.TargetLatency > 0 &&
		e.proxy.priorityUse.ranks(e.current)
}

// admission returns how the request may wait at the chosen instance. Where the instance states a limit, other
// rules bound the wait; a suspected request runs alone.
func (e *exchange) admission(choice balance.Choice, limited bool) hop.Admission {
	if !e.usesAdmission() || limited || e.suspicion.standing == suspects.Suspected {
		return hop.Admission{}
	}
	return hop.Admission{Late: true, Retried: e.elapsed() > 0, Elsewhere: e.mayServeElsewhere(choice.Instance.Name)}
}

// mayServeElsewhere reports whether another instance than the given one will be asked if that one rejects the
// request.
func (e *exchange) mayServeElsewhere(name string) bool {
	return e.fullRefusals+1 < e.proxy.services.MaxRejections(e.service, e.call.Priority, time.Now()) && e.hasUntriedExcept(name)
}

// mayAskFurther reports whether a further instance may be asked after those that had no capacity.
func (e *exchange) mayAskFurther() bool {
	if !e.usesAdmission() || e.fullRefusals == 0 {
		return e.fullRefusals < maxFullRefusals
	}
	if limit := e.proxy.services.MaxRejections(e.service, e.call.Priority, time.Now()); e.fullRefusals >= limit {
		e.proxy.metrics.rejectedEarly(e.service, limit)
		return false
	}
	return true
}

// recordCapacity records whether an instance of the service had capacity for the request.
func (e *exchange) recordCapacity(sent sendResult) {
	if !sent.reported {
		return
	}
	switch sent.report.Reason {
	case hop.ReasonNone:
		e.proxy.services.Reported(e.service, e.call.Priority, false, time.Now())
	case hop.ReasonOverloaded:
		e.proxy.services.Reported(e.service, e.call.Priority, true, time.Now())
	}
}

// mostlyRejected reports whether instances with free slots rejected the request, while only some others, as one
// that is asked for a response in time, had no capacity and the service is not known to be full.
func (e *exchange) mostlyRejected() bool {
	return e.usesAdmission() && e.rejections > 0 && e.rejections >= e.fullRefusals && !e.proxy.services.IsFull(e.service, e.call.Priority, time.Now())
}

// spreadRetry adds a random part to the wait of a refused caller.
func (e *exchange) spreadRetry(refusal retryafter.Refusal) time.Duration {
	if !e.usesAdmission() {
		return spread(refusal.Wait())
	}
	if !e.proxy.services.IsFull(e.service, e.call.Priority, time.Now()) {
		refusal.NextSlot = 0 // the forecast of one instance says nothing about the others
	}
	return refusal.SpreadWait(rand.Float64())
}
