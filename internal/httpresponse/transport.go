package httpresponse

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"
)

// Transport is an http.Transport whose responses are complete where their body ends without an error.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns the response to it.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil || request.Body == http.NoBody {
		return t.Transport.RoundTrip(request)
	}
	writing := &bodyWrite{}
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { writing.begin() },
		WroteRequest: func(info httptrace.WroteRequestInfo) { writing.end(info.Err) },
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err == nil && IsUnframed(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: request.Context(), writing: writing}
	}
	return response, err
}

// bodyWrite is the writing of a request with a body, which may go on while the response is read.
type bodyWrite struct {
	mutex sync.Mutex
	ended chan struct{} // closed when the last attempt to write has ended
	err   error
}

func (w *bodyWrite) begin() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ended, w.err = make(chan struct{}), nil
}

func (w *bodyWrite) end(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.err = errors.Join(w.err, err)
	select {
	case <-w.ended: // by an earlier attempt that was still writing
	default:
		close(w.ended)
	}
}

// await waits until the writing has ended, and returns its error.
func (w *bodyWrite) await(ctx context.Context) error {
	w.mutex.Lock()
	ended := w.ended
	w.mutex.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.err
}

// unframedBody is the body of a response that ends with its connection. A stream may also end because of a reset
// whose error the kernel has reported to the writer of the request, so that the body is complete only if the
// request was written without an error.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context
	writing *bodyWrite
}

// Read returns io.EOF only after the complete body.
func (b *unframedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if failed := b.writing.await(b.ctx); failed != nil {
			return count, eris.Wrap(failed, "the server closed the connection before it had received the request")
		}
	}
	return count, err
}
