package outbound

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// replayLimit is how much of a body is kept for a further attempt. A longer
// body can be sent only once.
const replayLimit = 64 << 10

var (
	errBodyTooLarge = eris.New("the body is too large")
	errBodyDetached = eris.New("the attempt that read the body is over")
)

// replayBody is the body of a caller's request, read by one attempt after the
// other. What was read is kept up to replayLimit, so that a further attempt can
// start from the beginning; reading ahead of the instance never happens.
type replayBody struct {
	mu     sync.Mutex // guards the fields up to arrived; held while reading
	source io.Reader
	limit  int64 // most bytes to read; 0: no limit
	total  int64
	kept   []byte
	failed error // error of source, io.EOF included
	// trailers are filled from arrived at the end of the body.
	trailers http.Header
	arrived  http.Header

	state    sync.Mutex // guards the fields below; never held while reading
	current  *bodyReader
	overflow bool // more was read than is kept
	ended    bool // read to its end, trailers included
}

func newReplayBody(source io.Reader, limit int64) *replayBody {
	return &replayBody{source: source, limit: limit}
}

// open returns a reader from the start of the body. After the first, call it
// only when rewind allowed it.
func (b *replayBody) open() *bodyReader {
	b.state.Lock()
	defer b.state.Unlock()
	if b.overflow {
		panic("a body that was not kept cannot be read from its start")
	}
	b.current = &bodyReader{body: b}
	return b.current
}

// rewind detaches the current reader and reports whether the body can be read
// from its start again. A read still waiting for the caller counts as kept: what
// it brings is for the next reader.
func (b *replayBody) rewind() bool {
	b.state.Lock()
	defer b.state.Unlock()
	b.current = nil
	return !b.overflow
}

// stop detaches the current reader for good: a read that has not begun takes
// nothing from the caller any more.
func (b *replayBody) stop() { b.rewind() }

// settled takes in whether the rest of the body was read past this type.
func (b *replayBody) settled(ended bool) {
	b.state.Lock()
	defer b.state.Unlock()
	b.ended = ended
}

// failure returns the error that ended reading from the caller, if it was not
// the end of the body.
func (b *replayBody) failure() error {
	if !b.mu.TryLock() {
		return nil // a read is waiting: none has failed
	}
	defer b.mu.Unlock()
	if errors.Is(b.failed, io.EOF) {
		return nil
	}
	return b.failed
}

func (b *replayBody) isCurrent(reader *bodyReader) bool {
	b.state.Lock()
	defer b.state.Unlock()
	return b.current == reader
}

// unread reports whether the body was not, or not yet, read to its end.
func (b *replayBody) unread() bool {
	b.state.Lock()
	defer b.state.Unlock()
	return !b.ended
}

// fill reads once from the caller and keeps what came.
func (b *replayBody) fill(reader *bodyReader, data []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	count, err := b.source.Read(data)
	b.total += int64(count)
	if b.limit > 0 && b.total > b.limit {
		b.failed = errBodyTooLarge
		return 0, errBodyTooLarge
	}
	b.failed = err
	if errors.Is(err, io.EOF) {
		b.copyTrailers()
	}
	b.keep(reader, data[:count], errors.Is(err, io.EOF))
	return count, err
}

// keep stores data unless that exceeds replayLimit. Data read for a detached
// reader is always stored, as the next reader has not seen it.
func (b *replayBody) keep(reader *bodyReader, data []byte, ended bool) {
	b.state.Lock()
	defer b.state.Unlock()
	b.ended = ended
	if b.overflow {
		return
	}
	if b.current == reader && len(b.kept)+len(data) > replayLimit {
		b.overflow = true
		b.kept = nil
		return
	}
	b.kept = append(b.kept, data...)
}

func (b *replayBody) copyTrailers() {
	for name := range b.trailers {
		b.trailers[name] = b.arrived[name]
	}
}

// bodyReader is the body as one attempt reads it.
type bodyReader struct {
	body   *replayBody
	offset int
}

// Read returns kept bytes first, then reads on from the caller.
func (r *bodyReader) Read(data []byte) (int, error) {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if !r.body.isCurrent(r) {
		return 0, errBodyDetached
	}
	if r.offset < len(r.body.kept) {
		count := copy(data, r.body.kept[r.offset:])
		r.offset += count
		return count, nil
	}
	count, err := r.body.fill(r, data)
	r.offset += count
	return count, err
}

// Close detaches the reader, so that a late read takes nothing from the caller.
func (r *bodyReader) Close() error {
	r.body.state.Lock()
	defer r.body.state.Unlock()
	if r.body.current == r {
		r.body.current = nil
	}
	return nil
}
