package faultproxy_test

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
)

// TestStallingProxy checks that StallOpenConnections stalls open connections without closing them,
// and that later connections work.
func TestStallingProxy(t *testing.T) {
	c := qt.New(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer echo.Close()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewReader(conn)
				for line, err := lines.ReadString('\n'); err == nil; line, err = lines.ReadString('\n') {
					_, _ = conn.Write([]byte(line))
				}
				_ = conn.Close()
			}()
		}
	}()
	proxy, err := faultproxy.NewStallingProxy("127.0.0.1:0", echo.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	defer proxy.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", proxy.Address())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("first\n"))
		c.Assert(err, qt.IsNil)
		reader := bufio.NewReader(conn)
		line, err := reader.ReadString('\n')
		c.Assert(err, qt.IsNil)
		c.Check(line, qt.Equals, "first\n")
		return conn, reader
	}
	old, oldReader := dial()
	defer old.Close()
	proxy.StallOpenConnections()
	_, err = old.Write([]byte("second\n"))
	c.Assert(err, qt.IsNil)
	later, _ := dial()
	defer later.Close()
	c.Assert(old.SetReadDeadline(time.Now().Add(50*time.Millisecond)), qt.IsNil)
	_, err = oldReader.ReadString('\n')
	c.Check(err, qt.ErrorIs, os.ErrDeadlineExceeded)
	c.Assert(later.(*net.TCPConn).CloseWrite(), qt.IsNil)
	_, err = later.Read(make([]byte, 1))
	c.Check(err, qt.ErrorMatches, "EOF")
}
