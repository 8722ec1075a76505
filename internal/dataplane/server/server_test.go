package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
)

const idHeader = "Test-Id"

// handler runs requests by a function.
type handler func(ctx context.Context, request *message.Request) *message.Answer

// Serve implements server.Handler.
func (h handler) Serve(ctx context.Context, request *message.Request) *message.Answer {
	return h(ctx, request)
}

func echo(_ context.Context, request *message.Request) *message.Answer {
	return message.Whole(http.StatusOK, nil, append([]byte(request.ID+":"), request.Body...))
}

// rig is a server and one connection to it.
type rig struct {
	server *server.Server
	conn   net.Conn
	reader *bufio.Reader
}

func newRig(t *testing.T, serve handler) *rig {
	created := server.New(server.Options{
		Handler: serve, RequestID: idHeader,
		Limits: func() server.Limits {
			return server.Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Refuse: func(status int, reason string) *message.Answer { return message.Whole(status, nil, []byte(reason)) },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- created.Serve(listener) }()
	t.Cleanup(func() {
		created.Close()
		qt.Check(t, <-served, qt.IsNil)
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &rig{server: created, conn: conn, reader: bufio.NewReader(conn)}
}

func get(id string) string {
	return fmt.Sprintf("GET /p HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", idHeader, id)
}

func (r *rig) send(c *qt.C, text string) {
	_, err := io.WriteString(r.conn, text)
	c.Assert(err, qt.IsNil)
}

func (r *rig) read(c *qt.C) (*http.Response, string) {
	c.Helper()
	response, err := http.ReadResponse(r.reader, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, string(body)
}

// TestPipelinedRequestsRunAtOnce: the last of three runs before the first is
// done, and the answers come in order.
func TestPipelinedRequestsRunAtOnce(t *testing.T) {
	c := qt.New(t)
	third := make(chan struct{})
	r := newRig(t, func(ctx context.Context, request *message.Request) *message.Answer {
		switch request.ID {
		case "1":
			<-third
		case "3":
			close(third)
		}
		return echo(ctx, request)
	})
	r.send(c, get("1")+get("2")+get("3"))
	for _, want := range []string{"1:", "2:", "3:"} {
		_, body := r.read(c)
		c.Check(body, qt.Equals, want)
	}
}

// TestLeavingSenderCancels: the close of a connection reaches what runs on it.
func TestLeavingSenderCancels(t *testing.T) {
	c := qt.New(t)
	began, cancelled := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(ctx context.Context, _ *message.Request) *message.Answer {
		close(began)
		<-ctx.Done()
		close(cancelled)
		return &message.Answer{Abort: true}
	})
	r.send(c, get("1"))
	<-began
	c.Assert(r.conn.Close(), qt.IsNil)
	<-cancelled
}

func TestBodies(t *testing.T) {
	rows := map[string]struct{ request, want string }{
		"with a length": {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%s: 1\r\nContent-Length: 4\r\n\r\nbody", idHeader), "1:body"},
		"in chunks":     {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%s: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", idHeader), "1:body"},
		"empty":         {get("1"), "1:"},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, echo)
			r.send(c, row.request+get("2"))
			_, body := r.read(c)
			c.Check(body, qt.Equals, row.want)
			_, body = r.read(c)
			c.Check(body, qt.Equals, "2:") // the body's end was the request's end
		})
	}
}

func TestExpectContinue(t *testing.T) {
	c := qt.New(t)
	r := newRig(t, echo)
	r.send(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%s: 1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", idHeader))
	line, err := r.reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasPrefix(line, "HTTP/1.1 100"), qt.IsTrue)
	_, err = r.reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	r.send(c, "body")
	_, body := r.read(c)
	c.Check(body, qt.Equals, "1:body")
}

func TestRefusedRequests(t *testing.T) {
	rows := map[string]struct {
		request string
		status  int
	}{
		"malformed":          {"nonsense\r\n\r\n", http.StatusBadRequest},
		"without an id":      {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusBadRequest},
		"two ids":            {fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\n%[1]s: 1\r\n%[1]s: 2\r\n\r\n", idHeader), http.StatusBadRequest},
		"header too large":   {fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\n%s: 1\r\nLong: %s\r\n\r\n", idHeader, strings.Repeat("x", 4<<10)), http.StatusRequestHeaderFieldsTooLarge},
		"endless header":     {"GET / HTTP/1.1\r\nHost: h\r\nLong: " + strings.Repeat("x", 32<<10), http.StatusRequestHeaderFieldsTooLarge},
		"body too large":     {fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%s: 1\r\nContent-Length: 2000000\r\n\r\n", idHeader), http.StatusRequestEntityTooLarge},
		"method not allowed": {fmt.Sprintf("TRACE / HTTP/1.1\r\nHost: h\r\n%s: 1\r\n\r\n", idHeader), http.StatusMethodNotAllowed},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, func(context.Context, *message.Request) *message.Answer {
				t.Error("a refused request ran")
				return message.Whole(http.StatusOK, nil, nil)
			})
			r.send(c, row.request)
			response, _ := r.read(c)
			c.Check(response.StatusCode, qt.Equals, row.status)
			c.Check(response.Close, qt.IsTrue)
		})
	}
}

// TestDrainClosesBehindTheLastAnswer: an answer that says close takes no request
// behind it away.
func TestDrainClosesBehindTheLastAnswer(t *testing.T) {
	c := qt.New(t)
	second := make(chan struct{})
	draining := make(chan struct{})
	r := newRig(t, func(ctx context.Context, request *message.Request) *message.Answer {
		if request.ID == "2" {
			close(second)
		}
		<-draining
		return echo(ctx, request)
	})
	r.send(c, get("1")+get("2"))
	<-second
	r.server.Drain()
	close(draining)
	response, _ := r.read(c)
	c.Check(response.Close, qt.IsFalse)
	response, body := r.read(c)
	c.Check(response.Close, qt.IsTrue)
	c.Check(body, qt.Equals, "2:")
	_, err := r.reader.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
}

// broken is a stream that fails after some bytes.
type broken struct{ sent bool }

func (b *broken) Read(data []byte) (int, error) {
	if b.sent {
		return 0, errors.New("the instance broke off")
	}
	b.sent = true
	return copy(data, "some"), nil
}

func (b *broken) Close() error { return nil }

// TestBrokenStreamDoesNotLookComplete for both framings.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t, func(context.Context, *message.Request) *message.Answer {
				return &message.Answer{Status: http.StatusOK, Header: make(http.Header), Stream: &broken{}, Length: length}
			})
			r.send(c, get("1"))
			response, err := http.ReadResponse(r.reader, nil)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(response.Body)
			c.Check(err, qt.IsNotNil)
		})
	}
}

// TestCloseIdleSparesBusyConnections.
func TestCloseIdleSparesBusyConnections(t *testing.T) {
	c := qt.New(t)
	began, goOn := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(ctx context.Context, request *message.Request) *message.Answer {
		close(began)
		<-goOn
		return echo(ctx, request)
	})
	r.send(c, get("1"))
	<-began
	r.server.CloseIdle()
	close(goOn)
	_, body := r.read(c)
	c.Check(body, qt.Equals, "1:")
}
