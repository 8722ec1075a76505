package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// echoHandler answers each request with its target.
type echoHandler struct{}

// Serve answers a request.
func (echoHandler) Serve(_ context.Context, request *message.Request) *message.Response {
	return message.Whole(http.StatusOK, nil, []byte(request.Target))
}

// startConnection runs a connection on one end and returns it with a channel that is closed when it
// has ended.
func startConnection(conn net.Conn, idleTimeout time.Duration) (started *connection, ended chan struct{}) {
	created := New(Options{
		Handler: echoHandler{},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
		},
	})
	started, ended = newConnection(created, conn), make(chan struct{})
	go func() {
		defer close(ended)
		started.run()
	}()
	return started, ended
}

func tcpPair(c *qt.C) (client, server net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	c.Assert(err, qt.IsNil)
	return client, server
}

func exchangeOn(c *qt.C, client net.Conn, target string) {
	c.Helper()
	_, err := fmt.Fprintf(client, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, target)
}

// TestWaitingConnectionEnds guards against a connection that waits for a request without a buffer and
// does not note that its client left or reset it, that the idle timeout expired, or that the server
// closed it.
func TestWaitingConnectionEnds(t *testing.T) {
	for name, row := range map[string]struct {
		idleTimeout time.Duration
		end         func(client net.Conn, waiting *connection)
	}{
		"client leaves": {time.Minute, func(client net.Conn, _ *connection) { _ = client.Close() }},
		"client resets": {time.Minute, func(client net.Conn, _ *connection) {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
		}},
		"idle timeout":  {time.Millisecond, func(net.Conn, *connection) {}},
		"server closes": {time.Minute, func(_ net.Conn, waiting *connection) { waiting.closeNow() }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client, server := tcpPair(c)
			waiting, ended := startConnection(server, row.idleTimeout)
			if row.idleTimeout == time.Minute {
				exchangeOn(c, client, "/1")
			}
			row.end(client, waiting)
			<-ended
			c.Check(waiting.reader, qt.IsNil)
		})
	}
}

// TestConnectionWithoutDescriptor: a connection that is not a TCP connection is served as well.
func TestConnectionWithoutDescriptor(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	_, ended := startConnection(server, time.Minute)
	exchangeOn(c, client, "/1")
	exchangeOn(c, client, "/2")
	_ = client.Close()
	<-ended
}

// TestUnreadRequestKeepsConnection guards against a request without an answer at a planned stop: the connection counted
// as idle although the request had arrived, as the process had no time to read it.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	c := qt.New(t)
	client, conn := tcpPair(c)
	created := New(Options{
		Handler: echoHandler{},
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
	})
	starved := newConnection(created, conn)
	_, err := fmt.Fprint(client, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	awaitArrival(c, conn)
	created.Drain()
	starved.closeIfIdle()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		starved.run()
	}()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "/last")
	<-ended
}

// awaitArrival waits until something has arrived on a connection, and leaves it unread.
func awaitArrival(c *qt.C, conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	c.Assert(raw.Read(hasUnread), qt.IsNil)
}
