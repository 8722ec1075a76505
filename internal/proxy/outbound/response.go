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

// unknownLength is the ContentLength of a response whose end is marked by its last
// chunk or by the end of the connection.
const unknownLength = -1

// forwardResponse sends the response of a backend to the caller. A response that
// breaks off is reported as truncated, so that the caller does not take it for a
// complete one.
func (e *exchange) forwardResponse(response *http.Response, choice *balance.Choice) completion {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return e.switchProtocols(response, choice)
	}
	defer func() { _ = response.Body.Close() }()
	if forward.IsEventStream(response.Header) {
		e.becomeSession()
	}
	e.beginResponse()
	e.limitResponseTime()
	e.writeHeader(response)
	end := e.copyBody(response)
	e.finish(choice, observationOfCompletion(end), time.Now())
	if end == answered {
		forward.PassTrailer(e.writer.Header(), response.Trailer)
	}
	return end
}

// observationOfCompletion returns the observation of the instance that follows from
// how its response ended.
func observationOfCompletion(end completion) balance.Observation {
	switch end {
	case answered:
		return balance.Answered
	case truncated:
		return balance.Failed
	default:
		return balance.Cancelled
	}
}

// becomeSession removes the deadline: a session lasts until one of its sides ends it.
func (e *exchange) becomeSession() { e.timer.Stop() }

// writeHeader sends the header of a response without hop-by-hop and internal fields.
func (e *exchange) writeHeader(response *http.Response) {
	forward.PassResponseHeader(e.writer.Header(), response)
	e.writer.WriteHeader(response.StatusCode)
	if response.ContentLength == unknownLength {
		forward.Flush(e.writer)
	}
}

// copyBody sends the body of a response to the caller.
func (e *exchange) copyBody(response *http.Response) completion {
	switch forward.CopyBody(e.writer, response, nil, e.writeChunk) {
	case forward.CopyRefused:
		return e.classifyBrokenResponse(callerGone)
	case forward.CopyBroken:
		return e.classifyBrokenResponse(truncated)
	default:
		return answered
	}
}

// writeChunk sends a part of the body to the caller and reports whether that
// succeeded.
func (e *exchange) writeChunk(piece []byte) bool {
	_, err := e.writer.Write(piece)
	return err == nil
}

// classifyBrokenResponse returns why a response was not sent completely: the
// deadline, the caller, or otherwise.
func (e *exchange) classifyBrokenResponse(otherwise completion) completion {
	switch {
	case errors.Is(context.Cause(e.ctx), forward.ErrDeadline):
		return timedOut
	case e.request.Context().Err() != nil:
		return callerGone
	default:
		return otherwise
	}
}

// abort closes the caller's connection before the response is complete. In HTTP/1.0
// a regular close marks the end of a response of unknown length, so the connection
// is reset instead.
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
