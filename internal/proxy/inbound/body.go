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

// errBodyOver is the error of a read after the answer was given.
var errBodyOver = eris.New("the rest of the body is not wanted")

// requestBody is the body of a request as the back end reads it. A nil one is no
// body.
type requestBody struct {
	source io.ReadCloser
	mu     sync.Mutex
	// reading is set while a read waits for the sender.
	reading bool
	failed  error // error of source, io.EOF included
	stopped bool
	ahead   bytes.Reader
}

// takeBody returns the body of a request, or nil without one.
func takeBody(w http.ResponseWriter, r *http.Request) *requestBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	// Answers must not wait for the body. Writers that cannot do it, as in tests,
	// answer after the body.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return &requestBody{source: r.Body}
}

// beforeAnswer is called before the header of an answer is written: what is left
// of the body must not be taken for the next request.
func (b *requestBody) beforeAnswer(w http.ResponseWriter) {
	if b.unread() {
		forward.CloseAfterAnswer(w)
	}
}

// finish ends the reading of the body after the answer.
func (b *requestBody) finish(w http.ResponseWriter) {
	if b.unread() {
		b.stop()
		forward.BoundUnread(w)
	}
}

// unread reports whether there may be more of the body.
func (b *requestBody) unread() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !errors.Is(b.failed, io.EOF)
}

// stop refuses reads that have not begun.
func (b *requestBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// readAhead reads up to limit bytes, which the next reads return again, and
// reports whether that was the whole body. It is called once at the most.
func (b *requestBody) readAhead(limit int64) (start []byte, whole bool, err error) {
	start, err = io.ReadAll(io.LimitReader(onlySource{b}, limit))
	if err != nil {
		return nil, false, err
	}
	b.ahead.Reset(start)
	b.mu.Lock()
	defer b.mu.Unlock()
	return start, errors.Is(b.failed, io.EOF), nil
}

// onlySource reads past what was read ahead.
type onlySource struct{ body *requestBody }

// Read skips what was read ahead.
func (s onlySource) Read(data []byte) (int, error) { return s.body.fill(data) }

// Read returns what was read ahead first.
func (b *requestBody) Read(data []byte) (int, error) {
	if b.ahead.Len() > 0 {
		return b.ahead.Read(data)
	}
	return b.fill(data)
}

func (b *requestBody) fill(data []byte) (int, error) {
	if err := b.begin(); err != nil {
		return 0, err
	}
	count, err := b.source.Read(data)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.failed = err
	return count, err
}

func (b *requestBody) begin() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed != nil {
		return b.failed
	}
	if b.stopped {
		return errBodyOver
	}
	b.reading = true
	return nil
}

// Close is called by the transport. The source stays open: net/http reads what is
// left of it after the answer.
func (b *requestBody) Close() error { return nil }

// waiting reports whether a read waits for the sender.
func (b *requestBody) waiting() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading
}

// failure returns the error that ended reading, if it was not the end of the body.
func (b *requestBody) failure() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.failed, io.EOF) {
		return nil
	}
	return b.failed
}
