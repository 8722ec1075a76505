package inbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// fingerprintBytes is how much of a body is read before the request is sent, to tell a
// repeat from another request with the same key.
const fingerprintBytes = 1 << 20

// idempotencyState is the state of an exchange whose request has an Idempotency-Key.
type idempotencyState struct {
	firstRun   idempotency.Run       // set if this is the first request with its key
	replay     *idempotency.Response // set if the request repeats one whose response is remembered
	recorded   *idempotency.Response // response of the first request so far; nil if too large
	completed  bool                  // the response of the first request was complete
	shed       bool                  // the backend refused the request, which did not run
	detached   bool                  // continues when the sender disconnects
	senderLost bool                  // a write to the sender failed
}

// claim asks the memory about the request's key. It may set firstRun or replay.
func (e *exchange) claim(routeName string) *outcome.Problem {
	values := e.request.Header.Values(outcome.HeaderIdempotencyKey)
	if len(values) == 0 || !e.runsOnce() {
		return nil
	}
	if len(values) > 1 || len(values[0]) > idempotency.MaxKeyBytes {
		return refusal(outcome.ReasonBadRequest, "want one short "+outcome.HeaderIdempotencyKey)
	}
	fingerprint, whole, problem := e.fingerprint()
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	claim, err := e.proxy.memory.Begin(ctx, idempotency.Key{Route: routeName, Value: values[0]}, fingerprint)
	if errors.Is(err, idempotency.ErrNoQuorum) {
		return refusal(outcome.ReasonNoQuorum, "")
	}
	if err != nil {
		e.proxy.logger.WithError(err).Warn("refused a request whose idempotency key cannot be remembered")
		return refusal(outcome.ReasonOverloaded, "the key cannot be remembered")
	}
	e.proxy.metrics.claimed(claim.Verdict)
	e.firstRun, e.replay = claim.Run, claim.Response
	if e.firstRun != nil && whole {
		// Nothing more is needed from the sender. The request runs to its end even if
		// the sender disconnects, so that a repeat gets a definite response.
		e.detached = e.detachFromSender()
	}
	return problemForVerdict(claim.Verdict)
}

// runsOnce reports whether repeats of the request must not run again.
func (e *exchange) runsOnce() bool {
	if e.upgrade != "" || e.proxy.settings.IdempotencyKeyRetention <= 0 {
		return false
	}
	switch e.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	default:
		return e.route == nil || !e.route.MayRepeat(e.request.Method)
	}
}

func (e *exchange) fingerprint() (print idempotency.Fingerprint, whole bool, problem *outcome.Problem) {
	var start []byte
	length := e.request.ContentLength
	whole = true
	if e.body != nil {
		if start, whole, problem = e.readAhead(fingerprintBytes); problem != nil {
			return print, false, problem
		}
	}
	if whole {
		length = int64(len(start))
	}
	return idempotency.NewFingerprint(e.request.Method, e.request.URL.RequestURI(), length, start), whole, nil
}

// problemForVerdict returns the refusal of a repeat that gets no response. Its outcome
// is not "not run" unless the key was used with another request, as the first request
// may have run.
func problemForVerdict(verdict idempotency.Verdict) *outcome.Problem {
	var problem outcome.Problem
	switch verdict {
	case idempotency.Running:
		problem = outcome.NewProblem(outcome.ReasonRepeatInProgress, outcome.Unknown, "")
	case idempotency.Done:
		problem = outcome.NewProblem(outcome.ReasonRepeatDone, outcome.Unknown, "")
	case idempotency.Lost:
		problem = outcome.NewProblem(outcome.ReasonRepeatLost, outcome.Unknown, "")
	case idempotency.Conflict:
		problem = outcome.NewProblem(outcome.ReasonRepeatConflict, outcome.NotRun, "")
	default:
		return nil
	}
	return &problem
}

// record begins to record the response. It copies the header before it is passed on.
func (e *exchange) record(response *http.Response) {
	if e.firstRun == nil || e.completed {
		return
	}
	header := make(http.Header, len(response.Header))
	forward.CopyForwardableHeader(header, response.Header.Clone())
	e.recorded = &idempotency.Response{Status: response.StatusCode, Header: header}
}

func (e *exchange) recordChunk(chunk []byte) {
	if e.recorded == nil {
		return
	}
	if len(e.recorded.Body)+len(chunk) > idempotency.DefaultMaxResponseBytes {
		e.recorded = nil
		return
	}
	e.recorded.Body = append(e.recorded.Body, chunk...)
}

// keepResponse ends the first run with the recorded response.
func (e *exchange) keepResponse(trailer http.Header) {
	if e.recorded != nil {
		e.recorded.Trailer = trailer.Clone()
		outcome.StripInternal(e.recorded.Trailer)
	}
	e.completed = true
	e.endFirstRun()
}

// keepNoResponse ends the first run without a response, as a session cannot be
// replayed.
func (e *exchange) keepNoResponse() {
	e.completed = true
	e.endFirstRun()
}

// endWithoutSender ends an exchange whose response was read to its end for repeats
// only.
func (e *exchange) endWithoutSender() exchangeEnd {
	e.keepResponse(nil)
	return endedCallerGone
}

// endFirstRun tells the memory how the first request ended; only the first call
// counts.
func (e *exchange) endFirstRun() {
	switch {
	case e.firstRun == nil:
	case e.completed:
		e.firstRun.End(idempotency.EndedDone, e.recorded)
	case e.shed || !e.send.Seal():
		e.firstRun.End(idempotency.EndedNotRun, nil)
	default:
		e.firstRun.End(idempotency.EndedUnknown, nil)
	}
}

// writeReplay responds with the remembered response to the first request with the key.
func (e *exchange) writeReplay() exchangeEnd {
	header := e.writer.Header()
	for name, values := range e.replay.Header {
		header[name] = values
	}
	e.proxy.setInstanceHeaders(header)
	for name := range e.replay.Trailer {
		header.Add(forward.HeaderTrailer, name)
	}
	e.beginResponse()
	e.body.closeIfUnread(e.writer)
	e.writer.WriteHeader(e.replay.Status)
	if _, err := e.writer.Write(e.replay.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return endedCallerGone
	}
	for name, values := range e.replay.Trailer {
		header[name] = values
	}
	return endedReplayed
}
