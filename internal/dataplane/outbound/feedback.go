package outbound

import (
	"context"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// reportToBalancer reports the result of a send to the balancer, the log and the metrics.
func (e *exchange) reportToBalancer(choice balance.Choice, sent sendResult) {
	var report *hop.Report
	if sent.reported {
		report = &sent.report
		if report.ExternalCallers {
			e.proxy.externalRoutes.add(e.route.Name)
		}
	}
	bytes := 0
	if sent.answer != nil {
		bytes = len(sent.answer.Body)
	}
	if transition := choice.Done(e.balanceResult(choice, sent), report, bytes, time.Now()); transition != balance.Unchanged {
		e.proxy.log.availabilityChanged(e, choice, sent, transition)
		if transition == balance.LinkBusy {
			e.proxy.metrics.busyLinks.Inc()
		}
	}
	e.proxy.metrics.sent(sent.report)
}

// balanceResult returns what a send tells about the instance.
func (e *exchange) balanceResult(choice balance.Choice, sent sendResult) balance.Result {
	if e.instanceFailed(choice, sent) {
		return balance.RequestFailed
	}
	if e.ctx.Err() != nil && sent.report.Outcome != hop.Answered {
		if sent.reported || e.callerGone() {
			return balance.Abandoned
		}
		return balance.DeliveryFailed // no report came before the deadline
	}
	switch sent.report.Reason {
	case hop.ReasonNone:
		return balance.Served
	case hop.ReasonOverloaded, hop.ReasonLink:
		return balance.Busy
	case hop.ReasonRejected:
		return balance.RequestFailed
	case hop.ReasonCold:
		return balance.RateLimited
	case hop.ReasonLimited:
		return balance.Limited
	case hop.ReasonDraining, hop.ReasonEvacuated, hop.ReasonWrongInstance, hop.ReasonUnconfigured:
		return balance.NotAccepting
	case hop.ReasonConnect, hop.ReasonBroken, hop.ReasonCrashed:
		if sent.connectTimedOut {
			return balance.ConnectTimedOut
		}
		return balance.DeliveryFailed
	default:
		return balance.Abandoned
	}
}

// overdueFactor is how many times the expected service time an instance must have worked on
// an unanswered request for that to count as a failure of the instance.
const overdueFactor = 2

// instanceFailed reports whether the instance itself failed the request: by an error answer,
// an invalid answer, or no answer in much more than the usual time.
func (e *exchange) instanceFailed(choice balance.Choice, sent sendResult) bool {
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
