// Package socketbytes counts the bytes read from and written to connections,
// below any codec or TLS, so that reports state what the network carried.
package socketbytes

import (
	"net"
	"sync/atomic"
)

// Counter counts bytes in both directions. The zero value is ready for use, and
// several connections may share it.
type Counter struct {
	read, written atomic.Int64
}

// Totals returns the bytes read and written so far.
func (c *Counter) Totals() (read, written int64) {
	return c.read.Load(), c.written.Load()
}

// Take returns the bytes read and written since the last Take and resets the
// counts to zero.
func (c *Counter) Take() (read, written int64) {
	return c.read.Swap(0), c.written.Swap(0)
}

// Conn is a net.Conn that counts its bytes in a Counter.
type Conn struct {
	net.Conn
	counter *Counter
}

// Wrap returns a connection that counts the bytes of inner in counter.
func Wrap(inner net.Conn, counter *Counter) *Conn {
	return &Conn{Conn: inner, counter: counter}
}

// Counter returns the counter that the connection adds to.
func (c *Conn) Counter() *Counter { return c.counter }

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counter.read.Add(int64(count))
	return count, err
}

// Write implements net.Conn. It counts before it writes, because the answer may
// arrive before the write returns, and then subtracts what was not written.
func (c *Conn) Write(data []byte) (int, error) {
	c.counter.written.Add(int64(len(data)))
	count, err := c.Conn.Write(data)
	c.counter.written.Add(int64(count - len(data)))
	return count, err
}

// Listener counts the bytes of all connections it accepts in one Counter.
type Listener struct {
	net.Listener
	Counter *Counter
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Wrap(accepted, l.Counter), nil
}
