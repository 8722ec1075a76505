package outbound

import (
	"context"
	"errors"
	"io"
	"maps"
	"mime"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

const (
	mediaEventStream = "text/event-stream"
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
	if isEventStream(response.Header) {
		e.becomeSession()
	}
	e.beginAnswer()
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

func isEventStream(header http.Header) bool {
	media, _, err := mime.ParseMediaType(header.Get(headerContentType))
	return err == nil && media == mediaEventStream
}

// becomeSession lifts the deadline: a session lasts as long as its two ends.
func (e *exchange) becomeSession() { e.timer.Stop() }

// writeHeader passes on the header of an answer, without what concerns the
// connection or only nodes.
func (e *exchange) writeHeader(response *http.Response) {
	announced := response.Trailer
	passHeader(e.writer.Header(), response.Header)
	if _, present := response.Header[headerContentType]; !present {
		e.writer.Header()[headerContentType] = nil // keeps net/http from guessing one
	}
	for name := range announced {
		if !outcome.IsInternal(name) {
			e.writer.Header().Add(headerTrailer, name)
		}
	}
	e.writer.WriteHeader(response.StatusCode)
	if len(announced) > 0 || isEventStream(response.Header) {
		e.flush()
	}
}

// passHeader copies an answer's header from one hop to the next. A Connection
// header of this proxy stays.
func passHeader(to, from http.Header) {
	removeHopByHop(from)
	outcome.StripInternal(from)
	maps.Copy(to, from)
}

// copyBody passes the body on. Of an answer without a known length each piece
// is sent at once.
func (e *exchange) copyBody(response *http.Response) ending {
	buffer := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		count, err := response.Body.Read(buffer[:])
		if count > 0 {
			if _, err := e.writer.Write(buffer[:count]); err != nil {
				return e.endOfBroken(callerGone)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return answered
		case err != nil:
			return e.endOfBroken(cut)
		case response.ContentLength == unknownLength:
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
	announced := e.writer.Header()[headerTrailer]
	for name, values := range response.Trailer {
		switch {
		case outcome.IsInternal(name):
		case hasToken(announced, name):
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

// informer passes 1xx answers on until the final answer begins. The transport
// calls it from its own goroutine.
type informer struct {
	mu      sync.Mutex
	stopped bool
	writer  http.ResponseWriter
}

// pass sends one 1xx answer on. "100 Continue" is not passed: net/http sends it
// when the instance has asked for the body.
func (i *informer) pass(status int, from textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped || status == http.StatusContinue {
		return nil
	}
	header := i.writer.Header()
	before := maps.Clone(header)
	passHeader(header, http.Header(from))
	i.writer.WriteHeader(status)
	clear(header)
	maps.Copy(header, before)
	return nil
}

func (i *informer) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stopped = true
}
