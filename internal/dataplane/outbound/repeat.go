package outbound

import (
	"math"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
)

// inherited is the probability that a request which comes now is a call of a run that
// was a repeat itself, should the instance beside the node have sent it.
func (p *Proxy) inherited() float64 {
	if p.options.Neighbour == nil {
		return 0
	}
	return p.options.Neighbour.RepeatShare()
}

// account tells how much of the bound of a service this node used, and may use.
func (p *Proxy) account(service string, now time.Time) (spent, allowed float64) {
	nodes := 1
	if current := p.options.Snapshots.Current(); current != nil {
		nodes = current.InstanceCount()
	}
	return p.budgetOf(service).State(now, nodes)
}

// repeatShare is the probability, in hundredths, that the next send counts as a repeat.
func (e *exchange) repeatShare() int {
	if e.arrivals > 0 {
		return hop.Certain
	}
	return int(math.Round(e.inherited * hop.Certain))
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
