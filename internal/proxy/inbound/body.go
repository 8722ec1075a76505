package inbound

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/proxy/forward"
)

// errBodyStopped is returned by a read of the body after the response was sent.
var errBodyStopped = eris.New("the rest of the request body is not read after the response")

// requestBody is a request's body as the backend reads it. A nil *requestBody stands
// for no body.
type requestBody struct {
	source io.ReadCloser
	mu     sync.Mutex
	// reading is set while a read waits for data of the sender.
	reading    bool
	readErr    error // error of source, io.EOF included
	stopped    bool
	prefetched bytes.Reader
}

// newRequestBody returns the body of a request, or nil if it has none.
func newRequestBody(w http.ResponseWriter, r *http.Request) *requestBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	// Responses must not wait for the body. Writers without full duplex, as in tests,
	// respond after the body.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return &requestBody{source: r.Body}
}

// closeIfUnread is called before a response header is written. It makes the connection
// close after the response if part of the body is unread, as the rest must not be
// taken for the next request.
func (b *requestBody) closeIfUnread(w http.ResponseWriter) {
	if b.unread() {
		forward.CloseAfterResponse(w)
	}
}

// finish ends the reading of the body after the response.
func (b *requestBody) finish(w http.ResponseWriter) {
	if b.unread() {
		b.stop()
		forward.LimitUnreadBody(w)
	}
}

// unread reports whether part of the body may be unread.
func (b *requestBody) unread() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !errors.Is(b.readErr, io.EOF)
}

// stop makes reads that have not begun fail with errBodyStopped.
func (b *requestBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// readAhead reads up to limit bytes, which Read returns again, and reports whether
// that was the whole body. It is called at most once.
func (b *requestBody) readAhead(limit int64) (start []byte, whole bool, err error) {
	start, err = io.ReadAll(io.LimitReader(sourceReader{b}, limit))
	if err != nil {
		return nil, false, err
	}
	b.prefetched.Reset(start)
	b.mu.Lock()
	defer b.mu.Unlock()
	return start, errors.Is(b.readErr, io.EOF), nil
}

// sourceReader reads from the source without the bytes that were read ahead.
type sourceReader struct{ body *requestBody }

// Read reads from the source only.
func (s sourceReader) Read(data []byte) (int, error) { return s.body.fill(data) }

// Read returns the bytes that were read ahead, then those of the source.
func (b *requestBody) Read(data []byte) (int, error) {
	if b.prefetched.Len() > 0 {
		return b.prefetched.Read(data)
	}
	return b.fill(data)
}

func (b *requestBody) fill(data []byte) (int, error) {
	if err := b.beginRead(); err != nil {
		return 0, err
	}
	count, err := b.source.Read(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.readErr = err
	return count, err
}

func (b *requestBody) beginRead() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readErr != nil {
		return b.readErr
	}
	if b.stopped {
		return errBodyStopped
	}
	b.reading = true
	return nil
}

// Close is called by the transport and does nothing: net/http reads the rest of the
// source after the response.
func (b *requestBody) Close() error { return nil }

// waiting reports whether a read waits for data of the sender.
func (b *requestBody) waiting() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading
}

// readError returns the error that ended reading, or nil if that was the end of the
// body.
func (b *requestBody) readError() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.readErr, io.EOF) {
		return nil
	}
	return b.readErr
}
