package outbound

import (
	"math"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
)

// enter takes the request into the accounts of this node.
func (e *exchange) enter() {
	now := time.Now()
	accounts := e.proxy.options.Budget
	accounts.Listed(e.current.InstanceCount(), now)
	e.inherited = accounts.Request(e.service, !e.proxy.shared.has(e.route.Name), now)
}

// reserveRepeat takes a further send from the accounts, if they allow one. It is given back
// at the end if it reached no instance.
func (e *exchange) reserveRepeat() bool {
	now := time.Now()
	if !e.reserved && !e.proxy.options.Budget.Repeat(e.service, now) {
		e.proxy.metrics.budgetEmpty.Inc()
		e.proxy.sends.Stopped(e.service, now)
		return false
	}
	e.reserved = true
	return true
}

// returnRepeat gives back a further send that reached no instance.
func (e *exchange) returnRepeat() {
	if e.reserved {
		e.reserved = false
		e.proxy.options.Budget.Return(e.service, time.Now())
	}
}

// account tells how much of the bound of a service this node used, and may use.
func (p *Proxy) account(service string, now time.Time) (spent, allowed float64) {
	return p.options.Budget.State(service, now)
}

// repeatShare is the probability, in hundredths, that the next send counts as a repeat.
func (e *exchange) repeatShare() int {
	if e.arrivals > 0 {
		return hop.Certain
	}
	return min(int(math.Round(e.inherited*hop.Certain)), hop.Certain-1)
}

// noteArrival counts a send that reached an instance, or may have.
func (e *exchange) noteArrival(sent result) {
	after := arrivalKind(sent)
	if after == "" {
		return
	}
	kind := repeats.First
	if e.arrivals > 0 {
		kind = e.lastArrival
		e.reserved = false
		e.proxy.metrics.repeats.Inc()
	}
	e.proxy.sends.Sent(e.service, kind, e.inherited, time.Now())
	e.proxy.metrics.arrived(e.service, kind)
	e.arrivals++
	e.lastArrival = after
}

// arrivalKind is what a further send is after this one; empty when it did not reach the
// instance.
func arrivalKind(sent result) repeats.Kind {
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
