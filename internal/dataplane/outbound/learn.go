package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// learn tells the balancer what became of a send.
func (e *exchange) learn(choice balance.Choice, sent result) {
	var report *hop.Report
	if sent.reported {
		report = &sent.report
		if report.Shared {
			e.proxy.shared.add(e.route.Name)
		}
	}
	bytes := 0
	if sent.answer != nil {
		bytes = len(sent.answer.Body)
	}
	if transition := choice.Done(e.observation(choice, sent), report, bytes, time.Now()); transition != balance.Unchanged {
		e.proxy.log.instance(e, choice, sent, transition)
	}
	e.proxy.metrics.sent(sent.report)
}

// observation is what a send says of the instance.
func (e *exchange) observation(choice balance.Choice, sent result) balance.Result {
	if e.erred(choice, sent) {
		return balance.RequestFailed
	}
	if e.ctx.Err() != nil && sent.report.Outcome != hop.Answered {
		if sent.reported || e.callerGone() {
			return balance.Abandoned
		}
		return balance.DeliveryFailed // nothing was heard until the time was over
	}
	switch sent.report.Reason {
	case hop.ReasonNone:
		return balance.Served
	case hop.ReasonOverloaded, hop.ReasonLink:
		return balance.Busy
	case hop.ReasonCold:
		return balance.RateLimited
	case hop.ReasonDraining, hop.ReasonEvacuated, hop.ReasonWrongInstance, hop.ReasonUnconfigured:
		return balance.NotAccepting
	case hop.ReasonConnect, hop.ReasonBroken, hop.ReasonCrashed:
		return balance.DeliveryFailed
	default:
		return balance.Abandoned
	}
}

// overdueFactor is how many times the expected time an instance must have worked on a
// request that it did not answer, for that to count against it.
const overdueFactor = 2

// erred reports whether the instance itself failed the request: by its answer, by one
// that is none, or by not answering in much more than the usual time.
func (e *exchange) erred(choice balance.Choice, sent result) bool {
	report := sent.report
	if !sent.reported {
		return false
	}
	overdue := report.Execution > overdueFactor*choice.ServiceTime
	switch report.Outcome {
	case hop.Answered:
		status := sent.answer.Status
		return status >= http.StatusInternalServerError && (status != http.StatusGatewayTimeout || overdue)
	case hop.Unknown:
		return report.Reason == hop.ReasonInvalid || report.Reason == hop.ReasonDeadline && overdue
	default:
		return false
	}
}

func (e *exchange) callerGone() bool {
	return e.ctx.Err() == context.Canceled && e.proxy.stopped.Err() == nil
}
