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
	// maxBufferedResponseBytes is the largest response whose header waits for its
	// body, so that both leave in one packet.
	maxBufferedResponseBytes = 4 << 10
	// maxDiscardBytes is how much of a shed response's body is read to keep the
	// connection reusable.
	maxDiscardBytes = 64 << 10
)

// exchangeEnd is how a request ended at this proxy.
type exchangeEnd struct {
	name             string // metric label
	problem          *outcome.Problem
	abortsConnection bool // the connection to the sender must be cut
}

var (
	endedAnswered   = exchangeEnd{name: "answered"}
	endedReplayed   = exchangeEnd{name: "replayed"}
	endedCut        = exchangeEnd{name: "cut", abortsConnection: true}
	endedLate       = exchangeEnd{name: "late", abortsConnection: true}
	endedCallerGone = exchangeEnd{name: "caller-gone", abortsConnection: true}
)

func endedWithProblem(problem outcome.Problem) exchangeEnd {
	return exchangeEnd{name: string(problem.Reason), problem: &problem}
}

// finishResponse writes the problem response of an exchange, if there is one, or cuts
// the connection.
func (p *Proxy) finishResponse(w http.ResponseWriter, body *requestBody, end exchangeEnd) {
	p.metrics.ended(end)
	if end.abortsConnection {
		panic(http.ErrAbortHandler) // makes net/http cut the response
	}
	if end.problem != nil {
		p.setInstanceHeaders(w.Header())
		body.closeIfUnread(w)
		end.problem.Write(w)
	}
}

// setInstanceHeaders sets the headers that tell the sender the load and state of this
// instance.
func (p *Proxy) setInstanceHeaders(header http.Header) {
	header.Set(outcome.HeaderLoad, strconv.FormatFloat(p.load(), 'f', loadDigits, 64))
	if state := p.readiness.state(); state != membership.StateReady {
		header.Set(outcome.HeaderState, state.String())
	}
	if p.stopping.Load() {
		// The sender closes the connection: if this side closed it, a request that is
		// already on its way could meet the close.
		header.Set(forward.HeaderConnection, "close")
	}
}

// loadDigits is the number of decimals of the load that senders are told.
const loadDigits = 3

// load returns used slots and queued requests divided by all slots. It is the proxy's
// own count, as the backend's load report may be wrong. While the instance is
// degraded, the load is at least 1, so that senders prefer other instances but can
// still use this one.
func (p *Proxy) load() float64 {
	usage := p.admission.Usage()
	load := float64(usage.InFlight+usage.Queued) / float64(max(usage.Slots, 1))
	if p.readiness.degraded(time.Now()) {
		return max(load, 1)
	}
	return load
}

func isShed(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(report.HeaderShed) == report.HeaderValue
}

// handleShed passes on that the backend refused the request, which therefore did not
// run.
func (e *exchange) handleShed(response *http.Response) exchangeEnd {
	e.shed = true
	e.discard(response)
	problem := outcome.NewProblem(outcome.ReasonOverloaded, outcome.NotRun, "the back end sheds load")
	if seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 31); err == nil {
		problem.RetryAfter = time.Duration(seconds) * time.Second
	}
	return endedWithProblem(problem)
}

// discard reads a short response to its end, so that its connection can be reused.
func (e *exchange) discard(response *http.Response) {
	_, err := io.CopyN(io.Discard, response.Body, maxDiscardBytes)
	if errors.Is(err, io.EOF) {
		e.releaseSlot()
	}
	_ = response.Body.Close()
}

// deliver passes the backend's response on. If it breaks off, the sender's connection
// is cut, so that the sender sees that it is incomplete.
func (e *exchange) deliver(response *http.Response) exchangeEnd {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return e.switchProtocols(response)
	}
	defer func() { _ = response.Body.Close() }()
	if forward.IsEventStream(response.Header) {
		e.becomeSession()
	}
	e.beginResponse()
	e.writeHeader(response)
	end := e.copyBody(response)
	if end.name == endedAnswered.name {
		forward.PassTrailer(e.writer.Header(), response.Trailer)
		e.keepResponse(response.Trailer)
	}
	return end
}

// becomeSession cancels the deadline, as a session lasts as long as its two ends, and
// gives the slot back.
func (e *exchange) becomeSession() {
	e.timer.Stop()
	e.slot.BecomeSession()
	e.keepNoResponse()
}

func (e *exchange) beginResponse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responding = true
}

func (e *exchange) writeHeader(response *http.Response) {
	header := e.writer.Header()
	e.record(response)
	forward.PassResponseHeader(header, response)
	e.proxy.setInstanceHeaders(header)
	e.body.closeIfUnread(e.writer)
	e.writer.WriteHeader(response.StatusCode)
	if response.ContentLength < 0 || response.ContentLength > maxBufferedResponseBytes {
		forward.Flush(e.writer)
	}
}

// copyBody passes the body on and gives the slot back when the backend's body has
// ended.
func (e *exchange) copyBody(response *http.Response) exchangeEnd {
	end := forward.CopyBody(e.writer, response, e.releaseSlot, e.writeChunk)
	switch {
	case end == forward.CopyRefused:
		return e.incompleteEnd(endedCallerGone)
	case end == forward.CopyBroken:
		return e.incompleteEnd(endedCut)
	case e.senderLost:
		return e.endWithoutSender()
	default:
		return endedAnswered
	}
}

// writeChunk sends a chunk to the sender and reports whether to continue. The response
// of a detached request is read to its end even if the sender is gone, as it is kept
// for repeats.
func (e *exchange) writeChunk(chunk []byte) bool {
	e.recordChunk(chunk)
	if e.senderLost {
		return true
	}
	if _, err := e.writer.Write(chunk); err != nil {
		e.senderLost = true
		return e.detached
	}
	return true
}

// incompleteEnd returns why a response did not reach its end: the deadline, the
// sender, or else the given end.
func (e *exchange) incompleteEnd(otherwise exchangeEnd) exchangeEnd {
	switch {
	case e.deadlinePassed():
		return endedLate
	case e.request.Context().Err() != nil:
		return endedCallerGone
	default:
		return otherwise
	}
}

// switchProtocols turns the exchange into a session, which relays bytes both ways
// until both directions have ended.
func (e *exchange) switchProtocols(response *http.Response) exchangeEnd {
	instance, agreed := forward.UpgradedConn(response, e.upgrade)
	if !agreed {
		_ = response.Body.Close()
		return endedWithProblem(outcome.NewProblem(outcome.ReasonBroken, outcome.Unknown, "the back end switched to another protocol"))
	}
	defer func() { _ = instance.Close() }()
	e.becomeSession()
	e.proxy.setInstanceHeaders(e.writer.Header())
	sender, err := forward.HijackUpgraded(e.writer, response)
	if err != nil {
		return endedCallerGone
	}
	defer func() { _ = sender.Close() }()
	stop := forward.CloseOnDone(e.ctx, instance, sender)
	defer stop()
	forward.Relay(sender, instance)
	return endedAnswered
}
