package outbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
)

// unknownLength is the ContentLength of an answer that ends with its chunks or
// its connection.
const unknownLength = -1

// deliver passes the answer of a back end on, whole or visibly cut.
func (e *exchange) deliver(response *http.Response, choice *balance.Choice) ending {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return e.switchProtocols(response, choice)
	}
	defer func() { _ = response.Body.Close() }()
	if forward.IsEventStream(response.Header) {
		e.becomeSession()
	}
	e.beginAnswer()
	e.boundAnswer()
	e.writeHeader(response)
	end := e.copyBody(response)
	e.finish(choice, observationOfEnd(end), time.Now())
	if end == answered {
		forward.PassTrailer(e.writer.Header(), response.Trailer)
	}
	return end
}

// observationOfEnd is what the end of an answer tells about the instance.
func observationOfEnd(end ending) balance.Observation {
	switch end {
	case answered:
		return balance.Answered
	case cut:
		return balance.Failed
	default:
		return balance.Cancelled
	}
}

// becomeSession lifts the deadline: a session lasts as long as its two ends.
func (e *exchange) becomeSession() { e.timer.Stop() }

// writeHeader passes on the header of an answer, without what concerns the
// connection or only nodes.
func (e *exchange) writeHeader(response *http.Response) {
	forward.PassResponseHeader(e.writer.Header(), response)
	e.writer.WriteHeader(response.StatusCode)
	if response.ContentLength == unknownLength {
		forward.Flush(e.writer)
	}
}

// copyBody passes the body on.
func (e *exchange) copyBody(response *http.Response) ending {
	switch forward.CopyBody(e.writer, response, nil, e.pass) {
	case forward.CopyRefused:
		return e.endOfBroken(callerGone)
	case forward.CopyBroken:
		return e.endOfBroken(cut)
	default:
		return answered
	}
}

// pass sends a piece to the caller and reports whether it was taken.
func (e *exchange) pass(piece []byte) bool {
	_, err := e.writer.Write(piece)
	return err == nil
}

// endOfBroken tells who ended an answer that did not come to its end.
func (e *exchange) endOfBroken(otherwise ending) ending {
	switch {
	case errors.Is(context.Cause(e.ctx), forward.ErrDeadline):
		return late
	case e.request.Context().Err() != nil:
		return callerGone
	default:
		return otherwise
	}
}

// abort cuts the caller's connection. HTTP/1.0 has no other end of an answer of
// unknown length than the connection's, so there it is reset.
func (e *exchange) abort() {
	if !e.request.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(e.writer).Hijack(); err == nil {
			resetConn(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

func resetConn(conn net.Conn) {
	if direct, ok := conn.(*net.TCPConn); ok {
		_ = direct.SetLinger(0)
	}
	_ = conn.Close()
}
