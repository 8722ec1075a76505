package inbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/repeat"
)

// fingerprintBytes is how much of a body is read before the request is sent, to
// tell repeats from other requests with the same key.
const fingerprintBytes = 1 << 20

// keyed is what an Idempotency-Key brings to an exchange.
type keyed struct {
	first    repeat.Run     // non-nil: the first with its key
	replay   *repeat.Answer // non-nil: the remembered answer to give
	kept     *repeat.Answer // grows with the answer of first; nil: too large
	finished bool           // the answer of first came to its end
	shed     bool           // the back end said that it did not run
	detached bool           // goes on when the sender leaves
	lost     bool           // the sender takes no more of the answer
}

// claim asks the memory about the request's key. It may set first or replay.
func (e *exchange) claim(routeName string) *outcome.Problem {
	values := e.request.Header.Values(outcome.HeaderIdempotencyKey)
	if len(values) == 0 || !e.runsOnce() {
		return nil
	}
	if len(values) > 1 || len(values[0]) > repeat.MaxKeyBytes {
		return refusal(outcome.ReasonBadRequest, "want one short "+outcome.HeaderIdempotencyKey)
	}
	fingerprint, whole, problem := e.fingerprint()
	if problem != nil {
		return problem
	}
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	claim, err := e.proxy.memory.Begin(ctx, repeat.Key{Route: routeName, Value: values[0]}, fingerprint)
	if errors.Is(err, repeat.ErrNoQuorum) {
		return refusal(outcome.ReasonNoQuorum, "")
	}
	if err != nil {
		e.proxy.logger.WithError(err).Warn("request with a key refused")
		return refusal(outcome.ReasonOverloaded, "the key cannot be remembered")
	}
	e.proxy.metrics.claimed(claim.Verdict)
	e.first, e.replay = claim.Run, claim.Answer
	if e.first != nil && whole {
		// Nothing more is needed of the sender. The request runs to its end even
		// when the sender leaves, so that a repeat gets a clear answer.
		e.detached = e.unlink()
	}
	return problemOf(claim.Verdict)
}

// runsOnce reports whether repeats must be kept from running.
func (e *exchange) runsOnce() bool {
	if e.upgrade != "" || e.proxy.settings.RepeatMemory <= 0 {
		return false
	}
	switch e.request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return false
	default:
		return e.route == nil || !e.route.MayRepeat(e.request.Method)
	}
}

func (e *exchange) fingerprint() (print repeat.Fingerprint, whole bool, problem *outcome.Problem) {
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
	return repeat.NewFingerprint(e.request.Method, e.request.URL.RequestURI(), length, start), whole, nil
}

// problemOf refuses a repeat that gets no answer. Such a refusal is not "not run":
// the first may have run.
func problemOf(verdict repeat.Verdict) *outcome.Problem {
	var problem outcome.Problem
	switch verdict {
	case repeat.Running:
		problem = outcome.New(outcome.ReasonRepeatInProgress, outcome.Unknown, "")
	case repeat.Done:
		problem = outcome.New(outcome.ReasonRepeatDone, outcome.Unknown, "")
	case repeat.Lost:
		problem = outcome.New(outcome.ReasonRepeatLost, outcome.Unknown, "")
	case repeat.Conflict:
		problem = outcome.New(outcome.ReasonRepeatConflict, outcome.NotRun, "")
	default:
		return nil
	}
	return &problem
}

// record begins to keep the answer. The header is copied before it is passed on.
func (e *exchange) record(response *http.Response) {
	if e.first == nil || e.finished {
		return
	}
	header := make(http.Header, len(response.Header))
	forward.PassAnswerHeader(header, response.Header.Clone())
	e.kept = &repeat.Answer{Status: response.StatusCode, Header: header}
}

func (e *exchange) recordPiece(piece []byte) {
	if e.kept == nil {
		return
	}
	if len(e.kept.Body)+len(piece) > repeat.DefaultAnswerBytes {
		e.kept = nil
		return
	}
	e.kept.Body = append(e.kept.Body, piece...)
}

// keepAnswer ends the first with the answer recorded.
func (e *exchange) keepAnswer(trailer http.Header) {
	if e.kept != nil {
		e.kept.Trailer = trailer.Clone()
		outcome.StripInternal(e.kept.Trailer)
	}
	e.finished = true
	e.settleKey()
}

// keepNoAnswer ends the first: its answer is a session, which cannot be given
// again.
func (e *exchange) keepNoAnswer() {
	e.finished = true
	e.settleKey()
}

// endUnheard ends an answer that was read to its end for repeats only.
func (e *exchange) endUnheard() ending {
	e.keepAnswer(nil)
	return endedCallerGone
}

// settleKey tells the memory how the first ended; only the first call counts.
func (e *exchange) settleKey() {
	switch {
	case e.first == nil:
	case e.finished:
		e.first.End(repeat.EndedDone, e.kept)
	case e.shed || !e.send.Seal():
		e.first.End(repeat.EndedNotRun, nil)
	default:
		e.first.End(repeat.EndedUnknown, nil)
	}
}

// giveReplay answers with what the first with the key was answered.
func (e *exchange) giveReplay() ending {
	header := e.writer.Header()
	for name, values := range e.replay.Header {
		header[name] = values
	}
	e.proxy.mark(header)
	for name := range e.replay.Trailer {
		header.Add(forward.HeaderTrailer, name)
	}
	e.beginAnswer()
	e.body.beforeAnswer(e.writer)
	e.writer.WriteHeader(e.replay.Status)
	if _, err := e.writer.Write(e.replay.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return endedCallerGone
	}
	for name, values := range e.replay.Trailer {
		header[name] = values
	}
	return endedReplayed
}
