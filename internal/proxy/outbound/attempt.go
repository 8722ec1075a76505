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
	// discardLimit is how much of a refusal's document is read to keep the
	// connection in use.
	discardLimit = 4 << 10
	// stallTime is how long an attempt must have lasted for its missed deadline
	// to count against the instance: below, the caller may just be in a hurry.
	stallTime = 500 * time.Millisecond
)

// maxStaleConnections bounds how many unused connections that the instance had
// closed one attempt may meet.
const maxStaleConnections = 4

// attemptResult is either the answer of a back end or a failure.
type attemptResult struct {
	response *http.Response // nil on failure
	problem  outcome.Problem
}

// attempt sends the request once. On an answer the choice stays open until the
// answer was passed on; on a failure it is done.
func (e *exchange) attempt(choice *balance.Choice) attemptResult {
	e.attempts++
	e.tried = append(e.tried, balance.KeyOf(choice.Endpoint))
	started := time.Now()
	sent := e.send(choice.Endpoint)
	for range maxStaleConnections {
		if !sent.metStaleConnection() || !e.mayResend() {
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
	problem, bySystem := outcome.FromResponse(sent.response)
	if !bySystem {
		return attemptResult{response: sent.response}
	}
	_, _ = io.CopyN(io.Discard, sent.response.Body, discardLimit)
	_ = sent.response.Body.Close()
	problem.Detail = "told by the proxy of instance " + string(choice.Endpoint.Node)
	e.finish(choice, e.observationOf(problem, now.Sub(started)), now)
	return attemptResult{problem: problem}
}

// sendResult is how one round trip ended: with a response, or with err.
type sendResult struct {
	response *http.Response
	err      error
	// mayHaveRun is false when it is proved that nothing was sent.
	mayHaveRun bool
	// reused tells that the connection had carried another request before.
	reused bool
}

// metStaleConnection reports whether the instance had closed an unused
// connection, which says nothing about the instance.
func (r sendResult) metStaleConnection() bool { return r.err != nil && !r.mayHaveRun && r.reused }

// mayResend reports whether the request can be sent on another connection after
// nothing of it was sent.
func (e *exchange) mayResend() bool {
	return e.ctx.Err() == nil && (e.body == nil || e.body.rewind())
}

func (e *exchange) send(endpoint membership.Endpoint) sendResult {
	current := forward.NewSend(e.deadline, nil)
	var result sendResult
	request := e.outgoing(current, endpoint, &result.reused)
	result.response, result.err = e.proxy.transport.RoundTrip(request)
	if result.err != nil {
		result.mayHaveRun = current.Seal()
	}
	return result
}

// finish ends a choice with what it told about the instance.
func (e *exchange) finish(choice *balance.Choice, observed balance.Observation, now time.Time) {
	if !choice.Done(observed, now) {
		return
	}
	e.proxy.metrics.ejections.Inc()
	e.proxy.logger.WithField("instance", choice.Endpoint.Node).Warn("instance ejected after failures in a row")
}

// outgoing is the request as sent to one instance. reused is set when it gets a
// connection.
func (e *exchange) outgoing(current *forward.Send, endpoint membership.Endpoint, reused *bool) *http.Request {
	header := e.header
	if e.sends > 0 {
		header = maps.Clone(header) // the send before may still read its own
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
		request.Trailer = e.body.trailers
	}
	trace := &httptrace.ClientTrace{
		// The header is written after this call: the time left is then exact,
		// however long the connection took.
		GotConn: func(info httptrace.GotConnInfo) {
			remaining[0] = outcome.Remaining(e.deadline)
			*reused = info.Reused
			info.Conn.(*forward.Conn).Assign(current)
		},
		Got1xxResponse: e.informer.Pass,
	}
	return request.WithContext(httptrace.WithClientTrace(e.ctx, trace))
}

// readHints takes over what an answer tells about its instance.
func (e *exchange) readHints(header http.Header, choice *balance.Choice, now time.Time) {
	if load, err := strconv.ParseFloat(header.Get(outcome.HeaderLoad), 64); err == nil {
		choice.Report(load, now)
	}
	switch header.Get(outcome.HeaderState) {
	case membership.StateDraining.String(), membership.StateGone.String():
		choice.Leave(now)
	}
}

// classify tells why there is no answer, and whether the request may have run.
func (e *exchange) classify(mayHaveRun bool) outcome.Problem {
	result := outcome.NotRun
	if mayHaveRun {
		result = outcome.Unknown
	}
	if e.body != nil {
		switch failed := e.body.failure(); {
		case errors.Is(failed, errBodyTooLarge):
			return outcome.New(outcome.ReasonTooLarge, result, "the body is too large")
		case failed != nil:
			return outcome.New(outcome.ReasonBadRequest, result, "the body broke off")
		}
	}
	switch {
	case forward.TimeOver(e.ctx, e.deadline):
		return outcome.New(outcome.ReasonDeadline, result, "")
	case mayHaveRun:
		return outcome.New(outcome.ReasonBroken, result, "")
	default:
		return outcome.New(outcome.ReasonConnect, result, "")
	}
}

// observationOf is what a failed attempt tells about the instance.
func (e *exchange) observationOf(problem outcome.Problem, lasted time.Duration) balance.Observation {
	if e.request.Context().Err() != nil {
		return balance.Cancelled // the caller ended it, not the instance
	}
	switch problem.Reason {
	case outcome.ReasonConnect, outcome.ReasonBroken:
		return balance.Failed
	case outcome.ReasonDraining, outcome.ReasonWrongInstance:
		return balance.Leaving
	case outcome.ReasonOverloaded:
		return balance.Refused
	case outcome.ReasonDeadline:
		if problem.Outcome == outcome.Unknown && lasted >= stallTime {
			return balance.Failed
		}
		return balance.Cancelled
	default:
		return balance.Cancelled
	}
}
