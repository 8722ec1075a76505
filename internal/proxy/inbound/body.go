package inbound

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

var errStopped = eris.New("nothing more of the body is wanted")

// requestBody is the body of a request as the back end reads it.
type requestBody struct {
	source io.ReadCloser
	mu     sync.Mutex
	// reading is set while a read waits for the sender.
	reading bool
	failed  error // error of source, io.EOF included, or errStopped
	ended   bool  // source was read to its end
	ahead   bytes.Reader
}

func newRequestBody(source io.ReadCloser) *requestBody { return &requestBody{source: source} }

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
	b.ended = errors.Is(err, io.EOF)
	if b.failed == nil {
		b.failed = err
	}
	return count, err
}

func (b *requestBody) begin() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed != nil {
		return b.failed
	}
	b.reading = true
	return nil
}

// Close is called by the transport. The source stays open: net/http reads what is
// left of it after the answer.
func (b *requestBody) Close() error { return nil }

// stop makes reads that have not begun fail.
func (b *requestBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed == nil {
		b.failed = errStopped
	}
}

// unread reports whether the source was not read to its end.
func (b *requestBody) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

// settled takes in whether the rest of the source was read past this type.
func (b *requestBody) settled(ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = ended
}

// waiting reports whether a read waits for the sender.
func (b *requestBody) waiting() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading
}

// failure returns the error that ended reading, if it was not the end of the body.
func (b *requestBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.failed, io.EOF) {
		return nil
	}
	return b.failed
}
