package httpmessage

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/rotisserie/eris"
)

// Transport is an http.Transport that returns only valid responses, whose bodies are complete where they end without
// an error.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns the response to it. After a malformed one the connection is closed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	current := &exchange{ctx: request.Context()}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), current.trace())))
	if err != nil {
		return nil, current.failure(err)
	}
	if err := current.check(response); err != nil {
		_ = response.Body.Close()
		current.closeConnection()
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols { // whose body is the connection
		response.Body = &checkedBody{ReadCloser: response.Body, response: response, exchange: current}
	}
	return response, nil
}

// exchange is one request, whose body may still be written while the response is read.
type exchange struct {
	ctx context.Context

	mutex sync.Mutex
	conn  net.Conn
	// interims counts the interim responses, and invalidInterim is the error of one that is not accepted.
	interims       int
	invalidInterim error
	// written is closed when the last attempt to write the request has ended, and failed is its error.
	written chan struct{}
	failed  error
}

// trace returns the hooks by which http.Transport reports on the exchange.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { e.beginWrite(info.Conn) },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { e.endWrite(info.Err) },
		Got1xxResponse: e.checkInterim,
	}
}

func (e *exchange) beginWrite(conn net.Conn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.conn, e.written, e.failed = conn, make(chan struct{}), nil
}

func (e *exchange) endWrite(err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failed = errors.Join(e.failed, err)
	select {
	case <-e.written: // by an earlier attempt that was still writing
	default:
		close(e.written)
	}
}

// checkInterim checks an interim response. It ends the exchange by itself, as the hook of another trace may replace its
// result.
func (e *exchange) checkInterim(_ int, fields textproto.MIMEHeader) error {
	err := CheckFields(http.Header(fields))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.interims++; e.interims > MaxInterim {
		err = eris.Wrap(ErrMalformed, "too many interim responses")
	}
	if err != nil {
		e.invalidInterim = err
		_ = e.conn.Close()
	}
	return err
}

// check returns why a response is not accepted, or nil.
func (e *exchange) check(response *http.Response) error {
	e.mutex.Lock()
	invalidInterim := e.invalidInterim
	e.mutex.Unlock()
	if invalidInterim != nil {
		return invalidInterim
	}
	return CheckResponse(response)
}

// failure returns why there is no response: an interim one that is not accepted, or err.
func (e *exchange) failure(err error) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.invalidInterim != nil {
		return e.invalidInterim
	}
	return err
}

// closeConnection closes the connection, which http.Transport would use again after a response without a body.
func (e *exchange) closeConnection() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_ = e.conn.Close()
}

// awaitWritten waits until the writing of the request has ended, and returns its error.
func (e *exchange) awaitWritten() error {
	e.mutex.Lock()
	written := e.written
	e.mutex.Unlock()
	select {
	case <-written:
	case <-e.ctx.Done():
		return context.Cause(e.ctx)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.failed
}

// checkedBody is the body of a response. Where only the end of the connection marks the end of the body, the stream
// may also end because of a reset whose error the kernel has reported to the writer of the request, so that the
// body is complete only if the request was written without an error.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	exchange *exchange
}

// Read returns io.EOF only after the complete body and a valid trailer.
func (b *checkedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	if IsUnframed(b.response) {
		if failed := b.exchange.awaitWritten(); failed != nil {
			return count, eris.Wrap(failed, "the server closed the connection before it had received the request")
		}
	}
	if invalid := CheckFields(b.response.Trailer); invalid != nil {
		return count, invalid
	}
	return count, err
}
