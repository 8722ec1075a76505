package server_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
)

// TestCloseIdleBesideReads guards against a server that stands still: it closes an idle connection just as it begins to wait
// for a request on it, or as something arrives. The close waits until no read is in progress, and the read for the
// lock of the connection.
func TestCloseIdleBesideReads(t *testing.T) {
	const rounds, connections = 40, 50
	c := qt.New(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range rounds {
			closeIdleWhileClientsWrite(c, connections)
		}
	}()
	select {
	case <-ended:
	case <-time.After(time.Minute):
		c.Fatal("the server stands still")
	}
}

// closeIdleWhileClientsWrite closes the idle connections of a server while they are opened and their clients write.
func closeIdleWhileClientsWrite(c *qt.C, connections int) {
	created := server.New(server.Options{
		Handler: handler(echo), RequestID: idHeader,
		Limits: func() server.Limits {
			return server.Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Refuse: func(status int, reason string) *message.Response { return message.Whole(status, nil, []byte(reason)) },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Check(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- created.Serve(listener) }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range connections {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				continue
			}
			go func() {
				_, _ = conn.Write([]byte(get("r")))
				_, _ = io.Copy(io.Discard, conn) // until the server closes
				_ = conn.Close()
			}()
		}
	}()
	for {
		created.CloseIdle()
		select {
		case <-written:
			created.Close()
			c.Check(<-served, qt.IsNil)
			return
		default:
		}
	}
}
