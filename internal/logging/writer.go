package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// DefaultBufferBytes is the default of how many bytes a Writer buffers while its
// output is blocked.
const DefaultBufferBytes = 256 << 10

// Writer writes lines to an output in the background, so that callers never block
// on it. Lines that do not fit into the buffer are dropped and counted. It is safe
// for concurrent use. Close flushes the buffer.
type Writer struct {
	out   io.Writer
	limit int

	mutex   sync.Mutex
	buffer  []byte
	dropped int
	closed  bool
	wake    chan struct{} // has room for one signal
	done    chan struct{} // closed after the last line was written
}

// NewWriter returns a Writer to out that buffers at most limit bytes; zero or less
// means DefaultBufferBytes.
func NewWriter(out io.Writer, limit int) *Writer {
	if limit <= 0 {
		limit = DefaultBufferBytes
	}
	writer := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write buffers one or more whole lines. It never fails and never waits for the
// output.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || len(w.buffer)+len(lines) > w.limit {
		w.dropped++
		return len(lines), nil
	}
	w.buffer = append(w.buffer, lines...)
	select {
	case w.wake <- struct{}{}:
	default: // a signal is already pending
	}
	return len(lines), nil
}

// Close flushes the buffered lines and returns once they are written, or after the wait.
func (w *Writer) Close(wait time.Duration) {
	w.mutex.Lock()
	first := !w.closed
	w.closed = true
	w.mutex.Unlock()
	if first {
		close(w.wake)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// run writes the buffered lines, each time in one write, until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		spare = w.flush(spare)
	}
	w.flush(spare)
}

// flush writes all buffered lines and returns their buffer for reuse.
func (w *Writer) flush(spare []byte) []byte {
	w.mutex.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = spare[:0], 0
	w.mutex.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere to report an error
	}
	if dropped > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"lines dropped: the output was too slow\",\"omitted\":%d,\"part\":\"log\"}\n", dropped)
	}
	return lines
}
