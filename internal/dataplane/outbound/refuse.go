package outbound

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/retryafter"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// retryJitter is the share of the wait by which retries are delayed at random, so that callers that
// are refused together do not return together.
const retryJitter = 0.5

// hasReady reports whether any instance of the selected target is ready.
func (e *exchange) hasReady() bool {
	return slices.ContainsFunc(e.instances(), func(instance snapshot.Instance) bool {
		return instance.State == snapshot.InstanceReady
	})
}

// refuse returns the final answer when no further instance accepts the request. If it has not
// run, it never will; if it has, the caller gets the result.
func (e *exchange) refuse() *message.Response {
	switch {
	case e.callerGone():
		e.finish(outcomeCallerGone, 0)
		return &message.Response{Abort: true}
	case e.failedAnswer != nil:
		e.finish(outcomeAnswered, e.failedAnswer.Status)
		return e.failedAnswer
	case e.possibleRuns > 0:
		return e.failUnknown(sendResult{report: e.lastReport})
	}
	e.proxy.callerRetries.Refused(e.route.Name, e.callerTimeout, time.Now())
	e.finish(outcomeNotRun, http.StatusServiceUnavailable)
	return e.proxy.errorAnswer(e.request, http.StatusServiceUnavailable, "not run: "+e.reasonText(), e.retryAfter())
}

// retryAfter returns when the caller should retry, with a random part.
func (e *exchange) retryAfter() time.Duration {
	pressure := 0.0
	if e.proxy.options.Mechanisms.LateRetries {
		pressure = e.proxy.callerRetries.Pressure(e.route.Name, time.Now())
	}
	if e.minRetryAfter == 0 {
		e.minRetryAfter = e.proxy.balancer.RateLimitedFor(e.instances(), time.Now())
	}
	return e.spreadRetry(retryafter.Refusal{
		Cause: e.refusalCause(), NextSlot: e.minRetryAfter,
		Left: time.Until(e.request.Arrived.Add(e.callerTimeout)), Pressure: pressure,
	})
}

// refusalCause returns why the request is refused.
func (e *exchange) refusalCause() retryafter.Cause {
	switch {
	case !e.hasReady():
		return retryafter.NoInstance
	case e.rejections > 0 && e.fullRefusals == 0, e.mostlyRejected():
		return retryafter.Rejected
	default:
		return retryafter.Full
	}
}

// spread adds a random part to a wait.
func spread(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*float64(wait)*retryJitter)
}

// failUnknown returns the final answer to a request that may have run.
func (e *exchange) failUnknown(sent sendResult) *message.Response {
	if e.callerGone() {
		e.finish(outcomeCallerGone, 0)
		return &message.Response{Abort: true}
	}
	status := http.StatusBadGateway
	if e.ctx.Err() != nil || sent.report.Reason == hop.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	e.finish(outcomeUnknown, status)
	return e.proxy.errorAnswer(e.request, status, "may have run: "+e.reasonText(), 0)
}

func (e *exchange) reasonText() string {
	switch {
	case e.lastReason != hop.ReasonNone:
		return string(e.lastReason)
	case e.isOutsideRegions():
		return "no instance in a region that the route and the tenant allow"
	default:
		return "no instance takes work"
	}
}
