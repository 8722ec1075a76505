package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
)

// blockingHandler answers each request after release is closed.
type blockingHandler struct{ release chan struct{} }

func (h blockingHandler) Serve(context.Context, *message.Request) *message.Response {
	<-h.release
	return message.Whole(http.StatusOK, nil, []byte("done"))
}

// TestProgressIsReported: a client that asks for progress reports gets them until the response
// comes; any other client gets the response only.
func TestProgressIsReported(t *testing.T) {
	const field = "X-Progress"
	for name, asks := range map[string]bool{"asked for": true, "not asked for": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			handler := blockingHandler{make(chan struct{})}
			s := server.New(server.Options{
				Handler: handler, Limits: func() server.Limits {
					return server.Limits{MaxHeaderBytes: 4096, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
				},
				Refuse:         func(status int, reason string) *message.Response { return message.Whole(status, nil, []byte(reason)) },
				ProgressHeader: field, ProgressInterval: time.Millisecond,
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go func() { _ = s.Serve(listener) }()
			c.Cleanup(s.Close)
			conn, err := net.Dial("tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			text := "GET / HTTP/1.1\r\nHost: h\r\n"
			if asks {
				text += field + ": 1\r\n"
			}
			_, err = io.WriteString(conn, text+"\r\n")
			c.Assert(err, qt.IsNil)
			reader := bufio.NewReader(conn)
			for range 3 {
				if asks {
					response, err := http.ReadResponse(reader, nil)
					c.Assert(err, qt.IsNil)
					c.Check(response.StatusCode, qt.Equals, http.StatusProcessing)
				}
			}
			close(handler.release)
			response, err := http.ReadResponse(reader, nil)
			for err == nil && asks && response.StatusCode == http.StatusProcessing {
				response, err = http.ReadResponse(reader, nil)
			}
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}
