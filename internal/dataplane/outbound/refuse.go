package outbound

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	leastRetryAfter   = 50 * time.Millisecond
	longestRetryAfter = 2 * time.Second
	// noInstanceRetry is when a request is worth sending again for which no instance is
	// ready: one starts, or a zone is taken back, within seconds at best.
	noInstanceRetry = time.Second
	// retryShare of the caller's time may pass before it comes back, so that enough is
	// left to be served then.
	retryShare = 0.25
	// retryJitter spreads callers over so much more of their wait.
	retryJitter = 0.5
	// fullPressure is the share of new requests refused from which callers are asked to
	// come back as late as they can.
	fullPressure = 0.3
)

// hasReady reports whether any instance of the chosen target takes work.
func (e *exchange) hasReady() bool {
	return slices.ContainsFunc(e.current.Instances(e.service), func(instance snapshot.Instance) bool {
		return instance.State == snapshot.InstanceReady
	})
}

// refuse is the final answer when no further instance takes the request. One that has
// not run will not; of one that has, the caller gets what came of it.
func (e *exchange) refuse() *message.Answer {
	switch {
	case e.callerGone():
		e.finish(outcomeCallerGone, 0)
		return &message.Answer{Abort: true}
	case e.failure != nil:
		e.finish(outcomeAnswered, e.failure.Status)
		return e.failure
	case e.reached > 0:
		return e.giveUp(result{report: e.report})
	}
	e.proxy.callers.Refused(e.route.Name, e.callerTime, time.Now())
	e.finish(outcomeNotRun, http.StatusServiceUnavailable)
	return e.proxy.problem(e.request, http.StatusServiceUnavailable, "not run: "+e.text(), e.retryAfter())
}

// retryAfter is when the request is likely to find a slot. Callers that are refused
// together come back one after the other.
func (e *exchange) retryAfter() time.Duration {
	pressure := 0.0
	if e.proxy.options.Mechanisms.LateReturns {
		pressure = e.proxy.callers.Pressure(e.route.Name, time.Now())
	}
	if !e.hasReady() {
		return noInstanceRetry
	}
	if e.wait == 0 {
		e.wait = e.proxy.balancer.RateLimitedFor(e.current.Instances(e.service), time.Now())
	}
	wait := retryAfterOf(e.wait, time.Until(e.request.Arrived.Add(e.callerTime)), pressure)
	return wait + time.Duration(rand.Float64()*float64(wait)*retryJitter)
}

// retryAfterOf is when to come back: while few new requests are refused, when the next
// slot is free; while many are, as late as leaves time for it, as those that come back
// earlier would be refused again.
func retryAfterOf(nextSlot, left time.Duration, pressure float64) time.Duration {
	soon := min(max(nextSlot, leastRetryAfter), longestRetryAfter)
	late := min(max(time.Duration(retryShare*float64(left)), soon), longestRetryAfter)
	return soon + time.Duration(min(pressure/fullPressure, 1)*float64(late-soon))
}

// giveUp is the final answer to a request that may have run.
func (e *exchange) giveUp(sent result) *message.Answer {
	if e.callerGone() {
		e.finish(outcomeCallerGone, 0)
		return &message.Answer{Abort: true}
	}
	status := http.StatusBadGateway
	if e.ctx.Err() != nil || sent.report.Reason == hop.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	e.finish(outcomeUnknown, status)
	return e.proxy.problem(e.request, status, "may have run: "+e.text(), 0)
}

func (e *exchange) text() string {
	if e.reason == hop.ReasonNone {
		return "no instance takes work"
	}
	return string(e.reason)
}
