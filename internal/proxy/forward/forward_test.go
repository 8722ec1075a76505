package forward_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/proxy/forward"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(c *qt.C) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	far, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	near, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// TestSend checks when a connection may be written to, and what Seal and Used report
// afterwards.
func TestSend(t *testing.T) {
	future := time.Now().Add(time.Hour)
	closePeer := func(near, far net.Conn) {
		_ = far.Close()
		_, _ = near.Read(make([]byte, 1)) // returns when the peer's close has arrived
	}
	for _, test := range []struct {
		name    string
		send    *forward.SendAttempt
		prepare func(near, far net.Conn)
		allowed bool
	}{
		{"before the deadline", forward.NewSendAttempt(future, nil), nil, true},
		{"deadline passed", forward.NewSendAttempt(time.Now(), nil), nil, false},
		{"no longer allowed", forward.NewSendAttempt(future, func() bool { return false }), nil, false},
		{"peer has closed", forward.NewSendAttempt(future, nil), closePeer, false},
		{"no send assigned", nil, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			near, far := tcpPair(c)
			if test.prepare != nil {
				test.prepare(near, far)
			}
			conn := forward.NewConn(near, true)
			conn.Assign(test.send)
			_, err := conn.Write([]byte("a booking"))
			c.Check(err == nil, qt.Equals, test.allowed)
			if test.send == nil {
				return
			}
			c.Check(test.send.Seal(), qt.Equals, test.allowed)
			c.Check(test.send.Used() == conn, qt.Equals, test.allowed)
		})
	}
}

// Two connections and a call of Seal race for the same SendAttempt: at most one connection
// may write, and Seal must report whether one did.
func TestSendUsesOneConnection(t *testing.T) {
	c := qt.New(t)
	for range 100 {
		send := forward.NewSendAttempt(time.Now().Add(time.Hour), nil)
		wrote := make(chan bool, 2)
		var group sync.WaitGroup
		for range 2 {
			near, _ := net.Pipe()
			conn := forward.NewConn(discardConn{near}, true)
			conn.Assign(send)
			group.Go(func() {
				_, err := conn.Write([]byte("a booking"))
				wrote <- err == nil
			})
		}
		sealed := send.Seal()
		group.Wait()
		writes := 0
		for range 2 {
			if <-wrote {
				writes++
			}
		}
		c.Assert(writes <= 1, qt.IsTrue)
		c.Assert(sealed, qt.Equals, writes == 1)
	}
}

// discardConn is a connection that discards what is written.
type discardConn struct{ net.Conn }

func (discardConn) Write(data []byte) (int, error) { return len(data), nil }

func TestRequestHeader(t *testing.T) {
	c := qt.New(t)
	got := forward.RequestHeader(http.Header{
		"Connection": {"X-Hop, upgrade"}, "Upgrade": {"echo"}, "X-Hop": {"1"}, "Te": {"trailers, deflate"},
		"Transfer-Encoding": {"chunked"}, "Winchhead-Outcome": {"not-run"}, "winchhead-load": {"0"}, "X-End": {"2"},
	})
	c.Check(got, qt.DeepEquals, http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {"echo"}, "Te": {"trailers"}, "User-Agent": {""}, "X-End": {"2"},
	})
}
