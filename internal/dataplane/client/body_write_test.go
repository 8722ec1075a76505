package client_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// TestCancelledBodyLeavesTheLink guards against a request that ends and still waits until its body
// gets its turn on the link.
func TestCancelledBodyLeavesTheLink(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		const beyondHeader = 4 << 10 // is received only with the first chunk
		_, _ = io.ReadFull(conn, make([]byte, beyondHeader))
		cancel()
		<-ctx.Done()
	}()
	egress := transfer.NewEgress(1) // the second chunk has its turn after hours
	pool := client.NewPool(client.Options{
		Address: listener.Addr().String(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute, RunsOnlyComplete: true, Egress: egress,
	})
	defer pool.Close()
	_, err = pool.Do(ctx, &client.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 100_000)})
	var failure *client.Error
	c.Assert(err, qt.ErrorAs, &failure)
	c.Check(failure.Progress, qt.Equals, client.SentPart)
	c.Check(egress.Stats().Sending, qt.Equals, 0)
}

// TestBodyOfClosedConnectionLeavesTheLink guards against a body that waits for the link, and counts as owed, after
// the server has answered early and its connection was closed.
func TestBodyOfClosedConnectionLeavesTheLink(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		const beyondHeader = 4 << 10 // is received only with the first chunk
		_, _ = io.ReadFull(conn, make([]byte, beyondHeader))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		<-ended
	}()
	egress := transfer.NewEgress(1) // the second chunk has its turn after hours
	pool := client.NewPool(client.Options{
		Address: listener.Addr().String(), ConnectTimeout: time.Minute, IdleTimeout: time.Minute, RunsOnlyComplete: true, Egress: egress,
	})
	defer pool.Close()
	response, err := pool.Do(context.Background(), &client.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 100_000)})
	c.Assert(err, qt.IsNil)
	response.Discard()
	for waiting := time.Now(); egress.Stats().DroppedBodies == 0; runtime.Gosched() {
		c.Assert(time.Since(waiting) < 10*time.Second, qt.IsTrue, qt.Commentf("%s are owed", egress.Owed()))
	}
	c.Check(egress.Stats().Sending, qt.Equals, 0)
}
