package inbound

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

const (
	// heldAnswerBytes is the size up to which an answer's header waits for its
	// body, so that both leave in one packet.
	heldAnswerBytes = 4 << 10
	// discardLimit is how much of a shed answer is read to keep the connection.
	discardLimit = 64 << 10
)

// ending is how a request left the proxy.
type ending struct {
	name    string // for metrics
	problem *outcome.Problem
	aborts  bool // the sender's connection must be cut
}

var (
	endedAnswered   = ending{name: "answered"}
	endedReplayed   = ending{name: "replayed"}
	endedCut        = ending{name: "cut", aborts: true}
	endedLate       = ending{name: "late", aborts: true}
	endedCallerGone = ending{name: "caller-gone", aborts: true}
)

func failure(problem outcome.Problem) ending {
	return ending{name: string(problem.Reason), problem: &problem}
}

// conclude writes the problem of an ending, or cuts the connection.
func (p *Proxy) conclude(w http.ResponseWriter, body *requestBody, end ending) {
	p.metrics.ended(end)
	if end.aborts {
		panic(http.ErrAbortHandler) // the way of net/http to cut an answer
	}
	if end.problem != nil {
		p.mark(w.Header())
		body.beforeAnswer(w)
		end.problem.Write(w)
	}
}

// mark sets what each answer tells the sender about this instance.
func (p *Proxy) mark(header http.Header) {
	header.Set(outcome.HeaderLoad, strconv.FormatFloat(p.load(), 'f', loadDigits, 64))
	if state := p.readiness.state(); state != membership.StateReady {
		header.Set(outcome.HeaderState, state.String())
	}
	if p.stopping.Load() {
		// The side that sends closes: a connection closed here might meet a
		// request on its way.
		header.Set(forward.HeaderConnection, "close")
	}
}

// loadDigits is the precision of the load that senders are told.
const loadDigits = 3

// load is used slots and waiting requests over all slots. It is this proxy's own
// count: the back end's load report may mislead. While the health report is bad
// and nothing speaks against it, the load counts as full, so that senders prefer
// other instances but still have this one.
func (p *Proxy) load() float64 {
	usage := p.admission.Usage()
	load := float64(usage.InFlight+usage.Queued) / float64(max(usage.Slots, 1))
	if p.readiness.doubted(time.Now()) {
		return max(load, 1)
	}
	return load
}

func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(report.HeaderShed) == report.HeaderValue
}

// failShed passes a back end's refusal on: it says that the request did not run.
func (e *exchange) failShed(response *http.Response) ending {
	e.shed = true
	e.discard(response)
	problem := outcome.New(outcome.ReasonOverloaded, outcome.NotRun, "the back end sheds load")
	if seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 31); err == nil {
		problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure(problem)
}

// discard reads a short answer to its end, so that the connection can be used
// again.
func (e *exchange) discard(response *http.Response) {
	_, err := io.CopyN(io.Discard, response.Body, discardLimit)
	if errors.Is(err, io.EOF) {
		e.releaseSlot()
	}
	_ = response.Body.Close()
}

// deliver passes the answer of the back end on, whole or visibly cut.
func (e *exchange) deliver(response *http.Response) ending {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return e.switchProtocols(response)
	}
	defer func() { _ = response.Body.Close() }()
	if forward.IsEventStream(response.Header) {
		e.becomeSession()
	}
	e.beginAnswer()
	e.writeHeader(response)
	end := e.copyBody(response)
	if end.name == endedAnswered.name {
		forward.PassTrailer(e.writer.Header(), response.Trailer)
		e.keepAnswer(response.Trailer)
	}
	return end
}

// becomeSession lifts the deadline, as a session lasts as long as its two ends,
// and gives the slot back.
func (e *exchange) becomeSession() {
	e.timer.Stop()
	e.slot.BecomeSession()
	e.keepNoAnswer()
}

func (e *exchange) beginAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answering = true
}

func (e *exchange) writeHeader(response *http.Response) {
	header := e.writer.Header()
	e.record(response)
	forward.PassResponseHeader(header, response)
	e.proxy.mark(header)
	e.body.beforeAnswer(e.writer)
	e.writer.WriteHeader(response.StatusCode)
	if response.ContentLength < 0 || response.ContentLength > heldAnswerBytes {
		forward.Flush(e.writer)
	}
}

// copyBody passes the body on and gives the slot back at its end.
func (e *exchange) copyBody(response *http.Response) ending {
	end := forward.CopyBody(e.writer, response, e.releaseSlot, e.pass)
	switch {
	case end == forward.CopyRefused:
		return e.endOfBroken(endedCallerGone)
	case end == forward.CopyBroken:
		return e.endOfBroken(endedCut)
	case e.lost:
		return e.endUnheard()
	default:
		return endedAnswered
	}
}

// pass sends a piece to the sender and reports whether to go on. The answer of a
// detached request is read to its end for its repeats, heard or not.
func (e *exchange) pass(piece []byte) bool {
	e.recordPiece(piece)
	if e.lost {
		return true
	}
	if _, err := e.writer.Write(piece); err != nil {
		e.lost = true
		return e.detached
	}
	return true
}

// endOfBroken tells who ended an answer that did not come to its end.
func (e *exchange) endOfBroken(otherwise ending) ending {
	switch {
	case e.timeOver():
		return endedLate
	case e.request.Context().Err() != nil:
		return endedCallerGone
	default:
		return otherwise
	}
}

// switchProtocols turns the exchange into a session: bytes go both ways until both
// directions have ended.
func (e *exchange) switchProtocols(response *http.Response) ending {
	instance, agreed := forward.Upgraded(response, e.upgrade)
	if !agreed {
		_ = response.Body.Close()
		return failure(outcome.New(outcome.ReasonBroken, outcome.Unknown, "the back end switched to another protocol"))
	}
	defer func() { _ = instance.Close() }()
	e.becomeSession()
	e.proxy.mark(e.writer.Header())
	sender, err := forward.TakeOver(e.writer, response)
	if err != nil {
		return endedCallerGone
	}
	defer func() { _ = sender.Close() }()
	stop := forward.CloseWith(e.ctx, instance, sender)
	defer stop()
	forward.Relay(sender, instance)
	return endedAnswered
}
