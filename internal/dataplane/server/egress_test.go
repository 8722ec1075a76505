package server_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

const (
	largeBytes = 8 << 20
	// slowestLink grants the second chunk of a body only after hours.
	slowestLink = 1
)

// closeSignal is the empty rest of a response, which tells when the response is finished.
type closeSignal struct{ closed chan struct{} }

// Read returns the end of the response.
func (closeSignal) Read([]byte) (int, error) { return 0, io.EOF }

// Close tells that the response is finished.
func (s closeSignal) Close() error {
	close(s.closed)
	return nil
}

// newScheduledServer starts a server with the given schedule that answers each request with a large
// body, and returns its address and the channel that is closed after the first response.
func newScheduledServer(c *qt.C, egress *transfer.Egress) (address string, finished chan struct{}) {
	finished = make(chan struct{})
	first := make(chan struct{}, 1)
	first <- struct{}{}
	created := server.New(server.Options{
		Handler: handler(func(context.Context, *message.Request) *message.Response {
			answer := message.Whole(http.StatusOK, nil, make([]byte, largeBytes))
			select {
			case <-first:
				answer.Stream = closeSignal{finished}
			default:
			}
			return answer
		}),
		Limits: func() server.Limits {
			return server.Limits{MaxHeaderBytes: 2 << 10, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Egress: egress,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = created.Serve(listener) }()
	c.Cleanup(created.Close)
	return listener.Addr().String(), finished
}

// request sends a request from an IP address and reads the header of the response.
func request(c *qt.C, from, address string) (net.Conn, *http.Response) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	return conn, response
}

// otherMachine is a loopback address that differs from that of the server.
const otherMachine = "127.0.0.2"

// TestDisconnectDropsTheBacklog guards against a body that waits for the link, and counts as owed,
// after its client has left.
func TestDisconnectDropsTheBacklog(t *testing.T) {
	c := qt.New(t)
	egress := transfer.NewEgress(slowestLink)
	address, finished := newScheduledServer(c, egress)
	conn, response := request(c, otherMachine, address)
	const beyondHeader = 8 << 10 // is sent only once the rest of the body is scheduled
	_, err := io.CopyN(io.Discard, response.Body, beyondHeader)
	c.Assert(err, qt.IsNil)
	c.Check(egress.Owed() > time.Hour, qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
	<-finished
	c.Check(egress.Stats().Sending, qt.Equals, 0)
	c.Check(egress.Stats().DroppedBytes > 0, qt.IsTrue)
}

// TestStoppedClientBlocksOnlyItsResponse guards against a client that does not read and holds back
// the responses to others.
func TestStoppedClientBlocksOnlyItsResponse(t *testing.T) {
	c := qt.New(t)
	egress := transfer.NewEgress(1e9)
	address, finished := newScheduledServer(c, egress)
	stopped, _ := request(c, otherMachine, address)
	_, response := request(c, otherMachine, address)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(bytes.Equal(body, make([]byte, largeBytes)), qt.IsTrue)
	c.Assert(stopped.Close(), qt.IsNil)
	<-finished
}

// TestResponsesWithinTheMachineAreNotScheduled guards against responses to the instance beside the
// node that are charged to the link, which they do not use.
func TestResponsesWithinTheMachineAreNotScheduled(t *testing.T) {
	c := qt.New(t)
	egress := transfer.NewEgress(slowestLink)
	address, _ := newScheduledServer(c, egress)
	_, response := request(c, "127.0.0.1", address)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.HasLen, largeBytes)
	c.Check(egress.Stats(), qt.Equals, transfer.EgressStats{})
}
