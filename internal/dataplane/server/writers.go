package server

import "sync/atomic"

// maxIdleWriters is how many writers wait for another connection. One that ended instead would have to
// be started anew, and its stack would grow again: 2 µs of processor time for a request.
const maxIdleWriters = 16

// writers are goroutines that write the responses of any connection. Connections in use have one
// each, idle ones have none.
type writers struct {
	next chan *connection
	idle atomic.Int32
	// closed is closed when idle writers are to end.
	closed chan struct{}
}

func newWriters() *writers {
	return &writers{next: make(chan *connection), closed: make(chan struct{})}
}

// write has the responses of a connection written by an idle writer or a new one.
func (s *Server) write(c *connection) {
	select {
	case s.writers.next <- c:
	default:
		s.running.Go(func() { s.writers.run(c) })
	}
}

// run writes the responses of one connection after another, until there are enough idle writers.
func (w *writers) run(c *connection) {
	for c != nil {
		c.writeAnswers()
		c = w.await()
	}
}

// await waits for the next connection; nil: the writer ends.
func (w *writers) await() *connection {
	defer w.idle.Add(-1)
	if w.idle.Add(1) > maxIdleWriters {
		return nil
	}
	select {
	case next := <-w.next:
		return next
	case <-w.closed:
		return nil
	}
}
