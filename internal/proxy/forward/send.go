package forward

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotSent is returned by a write that was refused before any byte of the request
// was sent.
var ErrNotSent = eris.New("no byte of the request was sent")

// Conn is a connection that writes only for the SendAttempt it is assigned to. This makes it
// certain whether any byte of a request was sent. It also stops http.Transport from
// resending a request on its own: on a reused connection, the transport resends
// requests that it considers idempotent (an Idempotency-Key header is enough), which a
// route may not allow.
type Conn struct {
	net.Conn
	direct   bool
	assigned atomic.Pointer[SendAttempt]
}

// NewConn returns the connection without a SendAttempt, so that it refuses writes. direct
// means that writes go to the kernel unbuffered and unchanged: a failed write of zero
// bytes then sent nothing.
func NewConn(conn net.Conn, direct bool) *Conn { return &Conn{Conn: conn, direct: direct} }

// Assign makes the connection write for this SendAttempt.
func (c *Conn) Assign(send *SendAttempt) { c.assigned.Store(send) }

// Read reads from the connection. It also reports a reset whose error the kernel has reported to a write; without it
// the stream seems to have ended in order.
func (c *Conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) && PeerReset(c.Conn) {
		return count, syscall.ECONNRESET
	}
	return count, err
}

// Write writes for the assigned SendAttempt, or returns ErrNotSent.
func (c *Conn) Write(data []byte) (int, error) {
	assigned := c.assigned.Load()
	if assigned == nil {
		return 0, ErrNotSent
	}
	first, allowed := assigned.beginWrite(c)
	if !allowed {
		return 0, ErrNotSent
	}
	written, err := c.Conn.Write(data)
	if first && written == 0 && err != nil && c.direct {
		// The kernel accepted no byte: the peer had already closed the connection.
		assigned.undoFirstWrite(c)
	}
	return written, err
}

// CloseWrite closes the sending direction, for sessions after an upgrade.
func (c *Conn) CloseWrite() error { return closeWrite(c.Conn) }

// SendAttempt is one attempt to send a request, on at most one connection.
type SendAttempt struct {
	// used is the connection that wrote, or sealed, or nil if neither happened yet.
	used     atomic.Pointer[Conn]
	deadline time.Time
	allowed  func() bool
}

// NewSendAttempt returns an attempt that may begin before the deadline and while allowed
// returns true; a nil allowed stands for always. Both are checked immediately before
// the first byte, so that a process that was paused before it sends nothing late.
func NewSendAttempt(deadline time.Time, allowed func() bool) *SendAttempt {
	return &SendAttempt{deadline: deadline, allowed: allowed}
}

// sealed marks a SendAttempt for which nothing was written and nothing may be written.
var sealed = new(Conn)

// beginWrite asks for permission to write on a connection. first reports whether it
// would be the first write of this SendAttempt.
func (s *SendAttempt) beginWrite(conn *Conn) (first, allowed bool) {
	if s.used.Load() == conn {
		return false, true
	}
	if PeerClosed(conn.Conn) || (s.allowed != nil && !s.allowed()) {
		return false, false
	}
	if !time.Now().Before(s.deadline) {
		return false, false
	}
	claimed := s.used.CompareAndSwap(nil, conn)
	return claimed, claimed
}

func (s *SendAttempt) undoFirstWrite(conn *Conn) { s.used.CompareAndSwap(conn, nil) }

// Seal forbids all later writes unless a write was made before, and reports whether
// one was. A false result proves that the request did not run.
func (s *SendAttempt) Seal() (mayHaveRun bool) {
	return !s.used.CompareAndSwap(nil, sealed) && s.used.Load() != sealed
}

// Used returns the connection that the request was written on, or nil.
func (s *SendAttempt) Used() *Conn {
	used := s.used.Load()
	if used == sealed {
		return nil
	}
	return used
}
