package forward

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotSent is the error of a write that was refused before any byte of the
// request left.
var ErrNotSent = eris.New("not sent")

// Conn is a connection that writes only for the Send it is assigned to. It makes
// exact whether anything of a request left this process, and it stops
// http.Transport from sending a request a second time by itself: the transport
// does that on a reused connection for requests it takes for repeatable (an
// Idempotency-Key header is enough), which routes may see otherwise.
type Conn struct {
	net.Conn
	plain   bool
	current atomic.Pointer[Send]
}

// NewConn returns the connection with no Send assigned: it writes nothing yet.
// plain tells that what is written goes to the kernel as it is: a write that
// failed with no byte written then sent nothing.
func NewConn(conn net.Conn, plain bool) *Conn { return &Conn{Conn: conn, plain: plain} }

// Assign makes the connection write for this Send.
func (c *Conn) Assign(send *Send) { c.current.Store(send) }

// Write writes for the assigned Send, or returns ErrNotSent.
func (c *Conn) Write(data []byte) (int, error) {
	current := c.current.Load()
	if current == nil {
		return 0, ErrNotSent
	}
	first, allowed := current.claim(c)
	if !allowed {
		return 0, ErrNotSent
	}
	written, err := c.Conn.Write(data)
	if first && written == 0 && err != nil && c.plain {
		// The kernel took nothing: the peer had closed the connection before.
		current.release(c)
	}
	return written, err
}

// CloseWrite ends the sending direction, for sessions after an upgrade.
func (c *Conn) CloseWrite() error { return closeWrite(c.Conn) }

// Send is one attempt to send a request, on at most one connection.
type Send struct {
	// used is the connection that wrote, or sealed, or nil while nothing was.
	used     atomic.Pointer[Conn]
	deadline time.Time
	allowed  func() bool
}

// NewSend returns an attempt that may begin before the deadline and while allowed
// returns true; a nil allowed always does. Both are asked immediately before the
// first byte, so that a process that was paused in between sends nothing late.
func NewSend(deadline time.Time, allowed func() bool) *Send {
	return &Send{deadline: deadline, allowed: allowed}
}

// sealed stands for "nothing was written and nothing may be any more".
var sealed = new(Conn)

// claim asks for a write on a connection. first tells that it would be the first
// of this send.
func (s *Send) claim(conn *Conn) (first, allowed bool) {
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

func (s *Send) release(conn *Conn) { s.used.CompareAndSwap(conn, nil) }

// Seal forbids any write from now on, unless one was made before; it reports
// whether one was. A false result proves that the request did not run.
func (s *Send) Seal() (mayHaveRun bool) {
	return !s.used.CompareAndSwap(nil, sealed) && s.used.Load() != sealed
}

// Used returns the connection that the request was written on, or nil.
func (s *Send) Used() *Conn {
	used := s.used.Load()
	if used == sealed {
		return nil
	}
	return used
}
