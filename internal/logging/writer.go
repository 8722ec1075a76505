package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// DefaultBacklogBytes is how many bytes of lines a Writer holds for an output that
// does not take them.
const DefaultBacklogBytes = 256 << 10

// Writer passes lines on to an output without ever waiting for it: lines that the
// output does not take in time are left out and counted. It is safe for concurrent
// use. Close it to have the last lines written.
type Writer struct {
	out   io.Writer
	limit int

	mutex   sync.Mutex
	backlog []byte
	omitted int
	closed  bool
	wake    chan struct{} // holds one signal
	done    chan struct{} // closed when the last line was written
}

// NewWriter returns a Writer to out that holds limit bytes at most; zero or less
// takes DefaultBacklogBytes.
func NewWriter(out io.Writer, limit int) *Writer {
	if limit <= 0 {
		limit = DefaultBacklogBytes
	}
	created := &Writer{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go created.run()
	return created
}

// Write takes one or more whole lines. It never fails and never waits for the
// output.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed || len(w.backlog)+len(lines) > w.limit {
		w.omitted++
		return len(lines), nil
	}
	w.backlog = append(w.backlog, lines...)
	select {
	case w.wake <- struct{}{}:
	default: // a signal is there already
	}
	return len(lines), nil
}

// Close has what is held written and returns once it is, or after the wait.
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

// run writes what has gathered, as one piece, until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		spare = w.writeBacklog(spare)
	}
	w.writeBacklog(spare)
}

// writeBacklog writes all lines that are held and returns their buffer for reuse.
func (w *Writer) writeBacklog(spare []byte) []byte {
	w.mutex.Lock()
	lines, omitted := w.backlog, w.omitted
	w.backlog, w.omitted = spare[:0], 0
	w.mutex.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere to report it
	}
	if omitted > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"warning\",\"msg\":\"the output was too slow\",\"omitted\":%d,\"part\":\"log\"}\n", omitted)
	}
	return lines
}
