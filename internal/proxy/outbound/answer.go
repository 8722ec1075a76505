package outbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/forward"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

const (
	// unknownLength is the ContentLength of an answer that ends with its chunks
	// or its connection.
	unknownLength = -1
	copyBytes     = 32 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

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
		e.writeTrailer(response)
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
	announced := response.Trailer
	forward.PassAnswerHeader(e.writer.Header(), response.Header)
	if _, present := response.Header[forward.HeaderContentType]; !present {
		e.writer.Header()[forward.HeaderContentType] = nil // keeps net/http from guessing one
	}
	for name := range announced {
		if !outcome.IsInternal(name) {
			e.writer.Header().Add(forward.HeaderTrailer, name)
		}
	}
	e.writer.WriteHeader(response.StatusCode)
	if response.ContentLength == unknownLength {
		e.flush()
	}
}

// copyBody passes the body on, each piece at once. The last piece of a known
// length leaves with the end of the answer.
func (e *exchange) copyBody(response *http.Response) ending {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	var passed int64
	for {
		count, err := response.Body.Read(buffer[:])
		if count > 0 {
			if _, err := e.writer.Write(buffer[:count]); err != nil {
				return e.endOfBroken(callerGone)
			}
		}
		passed += int64(count)
		switch {
		case errors.Is(err, io.EOF):
			return answered
		case err != nil:
			return e.endOfBroken(cut)
		case passed != response.ContentLength:
			e.flush()
		}
	}
}

// endOfBroken tells who ended an answer that did not come to its end.
func (e *exchange) endOfBroken(otherwise ending) ending {
	switch {
	case errors.Is(context.Cause(e.ctx), errDeadline):
		return late
	case e.request.Context().Err() != nil:
		return callerGone
	default:
		return otherwise
	}
}

func (e *exchange) flush() { _ = http.NewResponseController(e.writer).Flush() }

// writeTrailer passes on the trailer fields, those not announced too.
func (e *exchange) writeTrailer(response *http.Response) {
	announced := e.writer.Header()[forward.HeaderTrailer]
	for name, values := range response.Trailer {
		switch {
		case outcome.IsInternal(name):
		case forward.HasToken(announced, name):
			e.writer.Header()[name] = values
		default:
			e.writer.Header()[http.TrailerPrefix+name] = values
		}
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
