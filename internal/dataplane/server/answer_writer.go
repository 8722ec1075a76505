package server

import (
	"io"
	"math"
	"net"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// answerWriter writes the responses of one connection over the machine's link: what is small at
// once, large bodies in the order of the link's schedule.
type answerWriter struct {
	connection *connection
	order      transfer.Order
	// immediate counts the bytes of the current response that were written at once. It falls by
	// transfer.MinQueuedBytes in a second, so that the events of a long stream are not delayed.
	immediate float64
	counted   time.Time
	// blocked is how long the client has taken to accept the current response.
	blocked time.Duration
}

// answerDestination returns what responses are written to: the connection itself if nothing is paced.
func (c *connection) answerDestination() io.Writer {
	if c.egress() == nil {
		return c.conn
	}
	transfer.LimitUnsent(c.conn)
	c.answers = &answerWriter{connection: c}
	return c.answers
}

// egress returns the schedule for the responses of the connection, nil for none: a connection within
// the machine does not use the link.
func (c *connection) egress() *transfer.Egress {
	if isLocal(c.conn) {
		return nil
	}
	return c.server.options.Egress
}

// isLocal reports whether both ends of a connection have the same IP address.
func isLocal(conn net.Conn) bool {
	local, ok := conn.LocalAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	return ok && local.IP.Equal(remote.IP)
}

// begin prepares for the next response.
func (w *answerWriter) begin(answer *message.Response) {
	if w == nil {
		return
	}
	w.order = transfer.Order{Priority: math.MaxInt}
	if answer.Urgency != nil {
		w.order = transfer.Order{Priority: answer.Urgency.Priority, Due: answer.Urgency.Due}
	}
	w.immediate, w.blocked = 0, 0
}

// Write writes a part of the current response.
func (w *answerWriter) Write(data []byte) (int, error) {
	egress, to := w.connection.server.options.Egress, chunkWriter{w}
	if w.isImmediate(len(data), time.Now()) {
		egress.Charge(len(data))
		return to.Write(data)
	}
	if err := egress.WriteScheduled(w.connection.ctx, to, data, w.order); err != nil {
		return 0, err
	}
	return len(data), nil
}

// isImmediate decides whether a part is written at once, and counts it if so.
func (w *answerWriter) isImmediate(bytes int, now time.Time) bool {
	w.immediate = max(w.immediate-now.Sub(w.counted).Seconds()*transfer.MinQueuedBytes, 0)
	w.counted = now
	if w.immediate+float64(bytes) >= transfer.MinQueuedBytes {
		return false
	}
	w.immediate += float64(bytes)
	return true
}

// chunkWriter writes to the connection. The time that a response waits for the link does not count
// towards the write timeout.
type chunkWriter struct{ *answerWriter }

// Write writes one chunk.
func (w chunkWriter) Write(data []byte) (int, error) {
	began := time.Now()
	_ = w.connection.conn.SetWriteDeadline(began.Add(writeTimeout - w.blocked))
	w.connection.held.beginWrite(began)
	count, err := w.connection.conn.Write(data)
	w.connection.held.endWrite()
	w.blocked += time.Since(began)
	return count, err
}
