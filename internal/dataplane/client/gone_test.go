package client

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRefusesConnections: only a server that no longer listens is gone, not one that closes or resets
// connections.
func TestRefusesConnections(t *testing.T) {
	listen := func(c *qt.C, each func(net.Conn)) *net.TCPListener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				each(conn)
			}
		}()
		return listener.(*net.TCPListener)
	}
	t.Run("serves", func(t *testing.T) {
		c := qt.New(t)
		listener := listen(c, func(net.Conn) {})
		pool := NewPool(Options{Address: listener.Addr().String(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute})
		defer pool.Close()
		c.Check(pool.RefusesConnections(), qt.IsFalse)
		c.Check(pool.Open(), qt.Equals, 1) // the connection is kept for reuse
	})
	t.Run("closes connections", func(t *testing.T) {
		c := qt.New(t)
		listener := listen(c, func(conn net.Conn) { _ = conn.Close() })
		pool := NewPool(Options{Address: listener.Addr().String(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute})
		c.Check(pool.RefusesConnections(), qt.IsFalse)
		c.Check(pool.Open(), qt.Equals, 0)
	})
	t.Run("resets connections", func(t *testing.T) {
		c := qt.New(t)
		listener := listen(c, func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		})
		pool := NewPool(Options{Address: listener.Addr().String(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute})
		c.Check(pool.RefusesConnections(), qt.IsFalse)
	})
	t.Run("no longer listens", func(t *testing.T) {
		c := qt.New(t)
		listener := listen(c, func(net.Conn) {})
		address := listener.Addr().String()
		_ = listener.Close()
		pool := NewPool(Options{Address: address, ConnectTimeout: time.Minute, IdleTimeout: time.Minute})
		c.Check(pool.RefusesConnections(), qt.IsTrue)
	})
}
