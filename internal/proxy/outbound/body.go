package outbound

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rotisserie/eris"
)

// maxReplayBytes is how much of a body is buffered for further attempts. A longer
// body can be sent only once.
const maxReplayBytes = 64 << 10

var (
	errBodyTooLarge = eris.New("the body is too large")
	errBodyDetached = eris.New("the body reader is detached, as its attempt has ended")
)

// replayBody is the body of a caller's request, read by one attempt after the other.
// It buffers up to maxReplayBytes of what was read, so that a further attempt can
// start from the beginning. It never reads ahead of the instance.
type replayBody struct {
	mu        sync.Mutex // guards the fields up to receivedTrailers; held while reading
	source    io.Reader
	limit     int64 // maximum number of bytes to read; 0: no limit
	bytesRead int64
	buffered  []byte
	readErr   error // last error of source, including io.EOF
	// sentTrailers are filled from receivedTrailers at the end of the body.
	sentTrailers     http.Header
	receivedTrailers http.Header

	stateMu  sync.Mutex // guards the fields below; never held while reading
	current  *bodyReader
	overflow bool // more was read than can be buffered
	ended    bool // the body was read to its end, including trailers
}

func newReplayBody(source io.Reader, limit int64) *replayBody {
	return &replayBody{source: source, limit: limit}
}

// open returns a reader from the start of the body. After the first call, it may be
// called only if rewind returned true.
func (b *replayBody) open() *bodyReader {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	if b.overflow {
		panic("outbound proxy: a body longer than the replay buffer cannot be read again")
	}
	b.current = &bodyReader{body: b}
	return b.current
}

// rewind detaches the current reader and reports whether the body can be read from
// its start again. A read that still waits for the caller does not prevent that: its
// data is buffered for the next reader.
func (b *replayBody) rewind() bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.current = nil
	return !b.overflow
}

// stop detaches the current reader without a successor: no further read from the
// caller begins.
func (b *replayBody) stop() { b.rewind() }

// setEnded records whether the rest of the body was read directly from the
// connection.
func (b *replayBody) setEnded(ended bool) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.ended = ended
}

// callerError returns the error of reading from the caller, or nil at the regular end
// of the body.
func (b *replayBody) callerError() error {
	if !b.mu.TryLock() {
		return nil // a read is in progress, so none has failed yet
	}
	defer b.mu.Unlock()
	if errors.Is(b.readErr, io.EOF) {
		return nil
	}
	return b.readErr
}

func (b *replayBody) isCurrent(reader *bodyReader) bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return b.current == reader
}

// unread reports whether the body was not yet read to its end.
func (b *replayBody) unread() bool {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	return !b.ended
}

// readFromCaller reads once from the caller and buffers the data.
func (b *replayBody) readFromCaller(reader *bodyReader, data []byte) (int, error) {
	if b.readErr != nil {
		return 0, b.readErr
	}
	count, err := b.source.Read(data)
	b.bytesRead += int64(count)
	if b.limit > 0 && b.bytesRead > b.limit {
		b.readErr = errBodyTooLarge
		return 0, errBodyTooLarge
	}
	b.readErr = err
	if errors.Is(err, io.EOF) {
		b.copyTrailers()
	}
	b.buffer(reader, data[:count], errors.Is(err, io.EOF))
	return count, err
}

// buffer stores data unless maxReplayBytes would be exceeded. Data read for a detached
// reader is always stored, because the next reader has not seen it.
func (b *replayBody) buffer(reader *bodyReader, data []byte, ended bool) {
	b.stateMu.Lock()
	defer b.stateMu.Unlock()
	b.ended = ended
	if b.overflow {
		return
	}
	if b.current == reader && len(b.buffered)+len(data) > maxReplayBytes {
		b.overflow = true
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, data...)
}

func (b *replayBody) copyTrailers() {
	for name := range b.sentTrailers {
		b.sentTrailers[name] = b.receivedTrailers[name]
	}
}

// bodyReader is the body as one attempt reads it.
type bodyReader struct {
	body   *replayBody
	offset int
}

// Read returns buffered bytes first, then reads from the caller.
func (r *bodyReader) Read(data []byte) (int, error) {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if !r.body.isCurrent(r) {
		return 0, errBodyDetached
	}
	if r.offset < len(r.body.buffered) {
		count := copy(data, r.body.buffered[r.offset:])
		r.offset += count
		return count, nil
	}
	count, err := r.body.readFromCaller(r, data)
	r.offset += count
	return count, err
}

// Close detaches the reader, so that a later Read does not read from the caller.
func (r *bodyReader) Close() error {
	r.body.stateMu.Lock()
	defer r.body.stateMu.Unlock()
	if r.body.current == r {
		r.body.current = nil
	}
	return nil
}
