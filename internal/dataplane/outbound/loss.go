package outbound

import (
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/losses"
)

// noteLoss takes over how the request ended, and where its time went.
func (e *exchange) noteLoss(outcome string, status int, lasted time.Duration) {
	now := time.Now()
	ending := e.ending(outcome, status, lasted)
	times := losses.Times{Waiting: e.report.Waited, Instance: e.report.Execution}
	if !e.lastSent.IsZero() {
		times.Again = max(e.lastSent.Sub(e.request.Arrived), 0)
		times.Between = max(now.Sub(e.lastSent)-times.Waiting-times.Instance, 0)
	}
	e.proxy.losses.Note(losses.Request{
		Route: e.route.Name, Service: e.service, Ending: ending, Reason: string(e.reason), Instance: e.last, Times: times,
	}, now)
	if ending != losses.InTime {
		e.proxy.metrics.lost(e.service, ending, times)
	}
}

// ending tells how the request ended for its caller.
func (e *exchange) ending(outcome string, status int, lasted time.Duration) losses.Ending {
	switch {
	case outcome == outcomeCallerGone:
		return losses.GivenUp
	case outcome == outcomeUnknown:
		return losses.Unknown
	case outcome == outcomeNotRun && e.caller.Elapsed > 0:
		return losses.RefusedAgain
	case outcome == outcomeNotRun, outcome == outcomeShutOut:
		return losses.Refused
	case status >= http.StatusInternalServerError:
		return losses.Failed
	case e.route.TargetLatency > 0 && e.elapsed()+lasted > e.route.TargetLatency:
		return losses.Late
	default:
		return losses.InTime
	}
}
