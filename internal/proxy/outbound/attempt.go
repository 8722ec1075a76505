package outbound

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

const (
	schemeHTTP = "http"
	// discardLimit is how much of the body of a refusal is read, so that the
	// connection can be reused.
	discardLimit = 4 << 10
	// stallThreshold is how long an attempt must have lasted for a missed deadline
	// to count as a failure of the instance. In a shorter attempt the caller's
	// timeout may simply have been too short.
	stallThreshold = 500 * time.Millisecond
)

// maxStaleConnections is how many times one attempt is sent again because the instance
// had closed the idle connection that was used.
const maxStaleConnections = 4

// attemptResult is either the response of a backend or a failure.
type attemptResult struct {
	response *http.Response // nil on failure
	problem  outcome.Problem
}

// attempt sends the request to one instance. If there is a response, the choice stays
// open until the response has been forwarded; after a failure it is done.
func (e *exchange) attempt(choice *balance.Choice) attemptResult {
	e.attempts++
	e.tried = append(e.tried, balance.KeyOf(choice.Endpoint))
	started := time.Now()
	sent := e.send(choice.Endpoint)
	for range maxStaleConnections {
		if !sent.failedOnStaleConnection() || !e.mayResend() {
			break
		}
		sent = e.send(choice.Endpoint)
	}
	now := time.Now()
	if sent.err != nil {
		problem := e.classify(sent.mayHaveRun)
		e.finish(choice, e.observationOf(problem, now.Sub(started)), now)
		return attemptResult{problem: problem}
	}
	e.readHints(sent.response.Header, choice, now)
	problem, fromProxy := outcome.ProblemFromResponse(sent.response)
	if !fromProxy {
		return attemptResult{response: sent.response}
	}
	_, _ = io.CopyN(io.Discard, sent.response.Body, discardLimit)
	_ = sent.response.Body.Close()
	problem.Detail = "told by the proxy of instance " + string(choice.Endpoint.Node)
	e.finish(choice, e.observationOf(problem, now.Sub(started)), now)
	return attemptResult{problem: problem}
}

// sendResult is the result of one round trip: a response or an error.
type sendResult struct {
	response *http.Response
	err      error
	// mayHaveRun is false only if it is certain that nothing was sent.
	mayHaveRun bool
	// reused is set if the connection had carried another request before.
	reused bool
}

// failedOnStaleConnection reports whether the round trip failed because the instance
// had closed an idle connection, which does not indicate a fault of the instance.
func (r sendResult) failedOnStaleConnection() bool { return r.err != nil && !r.mayHaveRun && r.reused }

// mayResend reports whether the request can be sent on another connection after a
// round trip in which nothing of it was sent.
func (e *exchange) mayResend() bool {
	return e.ctx.Err() == nil && (e.body == nil || e.body.rewind())
}

func (e *exchange) send(endpoint membership.Endpoint) sendResult {
	current := forward.NewSendAttempt(e.deadline, nil)
	var result sendResult
	request := e.newOutgoingRequest(current, endpoint, &result.reused)
	result.response, result.err = e.proxy.transport.RoundTrip(request)
	if result.err != nil {
		result.mayHaveRun = current.Seal()
	}
	return result
}

// finish marks a choice as done and records what was observed about the instance.
func (e *exchange) finish(choice *balance.Choice, observed balance.Observation, now time.Time) {
	if !choice.Done(observed, now) {
		return
	}
	e.proxy.metrics.ejections.Inc()
	e.proxy.logger.WithField("instance", choice.Endpoint.Node).Warn("instance ejected after consecutive failures")
}

// newOutgoingRequest returns the request to send to one instance. reused is set as
// soon as the request has a connection.
func (e *exchange) newOutgoingRequest(current *forward.SendAttempt, endpoint membership.Endpoint, reused *bool) *http.Request {
	header := e.header
	if e.sends > 0 {
		header = maps.Clone(header) // the previous round trip may still read its header
	}
	e.sends++
	remaining := []string{""}
	header[outcome.HeaderRemaining] = remaining
	header[outcome.HeaderTarget] = []string{outcome.TargetOf(endpoint.Node, endpoint.Incarnation)}

	target := *e.request.URL
	target.Scheme, target.Host, target.User = schemeHTTP, endpoint.DataAddress, nil
	target.Fragment, target.RawFragment = "", ""
	request := &http.Request{
		Method: e.request.Method, URL: &target, Host: e.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if e.body != nil {
		request.Body = e.body.open()
		request.ContentLength = e.request.ContentLength
		request.Trailer = e.body.sentTrailers
	}
	trace := &httptrace.ClientTrace{
		// The header is written after this call, so the time that it took to get
		// the connection is not counted as remaining.
		GotConn: func(info httptrace.GotConnInfo) {
			remaining[0] = outcome.FormatRemaining(e.deadline)
			*reused = info.Reused
			info.Conn.(*forward.Conn).Assign(current)
		},
		Got1xxResponse: e.informer.Pass,
	}
	return request.WithContext(httptrace.WithClientTrace(e.ctx, trace))
}

// readHints records the load and the state that a response reports for its instance.
func (e *exchange) readHints(header http.Header, choice *balance.Choice, now time.Time) {
	if load, err := strconv.ParseFloat(header.Get(outcome.HeaderLoad), 64); err == nil {
		choice.Report(load, now)
	}
	switch header.Get(outcome.HeaderState) {
	case membership.StateDraining.String(), membership.StateGone.String():
		choice.Leave(now)
	}
}

// classify returns why there is no response and whether the request may have run.
func (e *exchange) classify(mayHaveRun bool) outcome.Problem {
	result := outcome.NotRun
	if mayHaveRun {
		result = outcome.Unknown
	}
	if e.body != nil {
		switch failed := e.body.callerError(); {
		case errors.Is(failed, errBodyTooLarge):
			return outcome.NewProblem(outcome.ReasonTooLarge, result, "the body is too large")
		case failed != nil:
			return outcome.NewProblem(outcome.ReasonBadRequest, result, "the body broke off")
		}
	}
	switch {
	case forward.DeadlinePassed(e.ctx, e.deadline):
		return outcome.NewProblem(outcome.ReasonDeadline, result, "")
	case mayHaveRun:
		return outcome.NewProblem(outcome.ReasonBroken, result, "")
	default:
		return outcome.NewProblem(outcome.ReasonConnect, result, "")
	}
}

// observationOf returns the observation of the instance that follows from a failed
// attempt.
func (e *exchange) observationOf(problem outcome.Problem, lasted time.Duration) balance.Observation {
	if e.request.Context().Err() != nil {
		return balance.Cancelled // the caller ended the request
	}
	switch problem.Reason {
	case outcome.ReasonConnect, outcome.ReasonBroken:
		return balance.Failed
	case outcome.ReasonDraining, outcome.ReasonWrongInstance:
		return balance.Leaving
	case outcome.ReasonOverloaded:
		return balance.Refused
	case outcome.ReasonDeadline:
		if problem.Outcome == outcome.Unknown && lasted >= stallThreshold {
			return balance.Failed
		}
		return balance.Cancelled
	default:
		return balance.Cancelled
	}
}
