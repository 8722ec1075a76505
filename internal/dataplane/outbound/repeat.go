package outbound

import (
	"math"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
)

// registerRequest counts the request in the repeat budget of this node.
func (e *exchange) registerRequest() {
	now := time.Now()
	accounts := e.proxy.options.Budget
	accounts.SetInstanceCount(e.current.InstanceCount(), now)
	e.repeatProbability = accounts.RecordRequest(e.service, !e.proxy.externalRoutes.has(e.route.Name), now)
}

// reserveRepeat takes a repeat from the budget, if that allows one. It is given back at the end
// if it reached no instance.
func (e *exchange) reserveRepeat() bool {
	now := time.Now()
	if !e.repeatReserved && !e.proxy.options.Budget.ReserveRepeat(e.service, now) {
		e.proxy.metrics.budgetEmpty.Inc()
		e.proxy.repeatLedger.Stopped(e.service, now)
		return false
	}
	e.repeatReserved = true
	return true
}

// returnRepeat gives back a reserved repeat that reached no instance.
func (e *exchange) returnRepeat() {
	if e.repeatReserved {
		e.repeatReserved = false
		e.proxy.options.Budget.ReturnRepeat(e.service, time.Now())
	}
}

// budgetState returns how many repeats this node has spent on a service, and how many it may
// spend.
func (p *Proxy) budgetState(service string, now time.Time) (spent, allowed float64) {
	return p.options.Budget.State(service, now)
}

// repeatHundredths returns the probability, in hundredths, that the next send counts as a
// repeat.
func (e *exchange) repeatHundredths() int {
	if e.arrivals > 0 {
		return hop.CertainRepeat
	}
	return min(int(math.Round(e.repeatProbability*hop.CertainRepeat)), hop.CertainRepeat-1)
}

// recordArrival records a send that reached an instance, or may have.
func (e *exchange) recordArrival(sent sendResult) {
	nextKind := kindAfter(sent)
	if nextKind == "" {
		return
	}
	kind := repeats.First
	if e.arrivals > 0 {
		kind = e.nextKind
		e.repeatReserved = false
		e.proxy.metrics.repeats.Inc()
	}
	e.proxy.repeatLedger.Sent(e.service, kind, e.repeatProbability, time.Now())
	e.proxy.metrics.arrived(e.service, kind)
	e.arrivals++
	e.nextKind = nextKind
}

// kindAfter returns the kind of a further send after this one; empty if this one did not reach
// the instance.
func kindAfter(sent sendResult) repeats.Kind {
	switch sent.report.Outcome {
	case hop.Rejected:
		return repeats.AfterRejection
	case hop.Answered:
		if sent.answer.Status >= http.StatusInternalServerError {
			return repeats.AfterFailure
		}
		return repeats.First
	case hop.Unknown:
		return repeats.AfterUnknown
	default:
		return ""
	}
}
