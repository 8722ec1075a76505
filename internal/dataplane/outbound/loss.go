package outbound

import (
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/losses"
)

// recordLoss records how the request ended, and where its time went.
func (e *exchange) recordLoss(outcome string, status int, duration time.Duration) {
	now := time.Now()
	ending := e.ending(outcome, status, duration)
	times := losses.Times{Waiting: e.lastReport.Waited, Instance: e.lastReport.Execution}
	if !e.lastSentAt.IsZero() {
		times.EarlierSends = max(e.lastSentAt.Sub(e.request.Arrived), 0)
		times.BetweenNodes = max(now.Sub(e.lastSentAt)-times.Waiting-times.Instance, 0)
	}
	e.proxy.losses.Note(losses.Request{
		Route: e.route.Name, Service: e.service, Ending: ending, Reason: string(e.lastReason), Instance: e.lastInstance, Times: times,
		Priority: e.call.Priority,
	}, now)
	if ending != losses.InTime {
		e.proxy.metrics.lost(e.service, ending, times)
	}
}

// ending classifies how the request ended for its caller.
func (e *exchange) ending(outcome string, status int, duration time.Duration) losses.Ending {
	switch {
	case outcome == outcomeCallerGone:
		return losses.GivenUp
	case outcome == outcomeUnknown:
		return losses.Unknown
	case outcome == outcomeNotRun && e.caller.Elapsed > 0:
		return losses.RefusedAgain
	case outcome == outcomeNotRun, outcome == outcomeQuarantined:
		return losses.Refused
	case status >= http.StatusInternalServerError:
		return losses.Failed
	case e.route.TargetLatency > 0 && e.elapsed()+duration > e.route.TargetLatency:
		return losses.Late
	default:
		return losses.InTime
	}
}
