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
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/server"
)

const idHeader = "Test-Id"

// handler implements server.Handler with a function.
type handler func(ctx context.Context, request *message.Request) *message.Response

// Serve calls the function.
func (h handler) Serve(ctx context.Context, request *message.Request) *message.Response {
	return h(ctx, request)
}

func echo(_ context.Context, request *message.Request) *message.Response {
	return message.Whole(http.StatusOK, nil, append([]byte(request.ID+":"), request.Body...))
}

// testServer is a running server and one connection to it.
type testServer struct {
	server *server.Server
	conn   net.Conn
	reader *bufio.Reader
}

func newTestServer(t testing.TB, serve handler) *testServer {
	return newCheckingServer(t, serve, nil)
}

// newCheckingServer is like newTestServer, with a check of requests before their bodies are read.
func newCheckingServer(t testing.TB, serve handler, check func(request *message.Request) *message.Response) *testServer {
	created := server.New(server.Options{
		Check:   check,
		Handler: serve, RequestID: idHeader,
		Limits: func() server.Limits {
			return server.Limits{MaxHeaderBytes: 2 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		Refuse: func(status int, reason string) *message.Response { return message.Whole(status, nil, []byte(reason)) },
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
	return &testServer{server: created, conn: conn, reader: bufio.NewReader(conn)}
}

func get(id string) string {
	return fmt.Sprintf("GET /p HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", idHeader, id)
}

func (r *testServer) send(c *qt.C, text string) {
	_, err := io.WriteString(r.conn, text)
	c.Assert(err, qt.IsNil)
}

func (r *testServer) read(c *qt.C) (*http.Response, string) {
	c.Helper()
	response, err := http.ReadResponse(r.reader, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, string(body)
}

// TestPipelinedRequestsRunConcurrently: the last of three requests runs before the first is
// done, and the responses come in order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	c := qt.New(t)
	third := make(chan struct{})
	r := newTestServer(t, func(ctx context.Context, request *message.Request) *message.Response {
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

// TestClientDisconnectCancels: the close of a connection cancels the requests that run on it.
func TestClientDisconnectCancels(t *testing.T) {
	c := qt.New(t)
	began, cancelled := make(chan struct{}), make(chan struct{})
	r := newTestServer(t, func(ctx context.Context, _ *message.Request) *message.Response {
		close(began)
		<-ctx.Done()
		close(cancelled)
		return &message.Response{Abort: true}
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
			r := newTestServer(t, echo)
			r.send(c, row.request+get("2"))
			_, body := r.read(c)
			c.Check(body, qt.Equals, row.want)
			_, body = r.read(c)
			c.Check(body, qt.Equals, "2:") // the next request starts right after the body
		})
	}
}

func TestExpectContinue(t *testing.T) {
	c := qt.New(t)
	r := newTestServer(t, echo)
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
			r := newTestServer(t, func(context.Context, *message.Request) *message.Response {
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

// TestCheckedBeforeTheBody guards against a body that is received in full only to be refused for the
// request's header. The connection is closed wherever a part of the body can follow, also where the client
// said that it would wait: it need not (RFC 9110, 10.1.1).
func TestCheckedBeforeTheBody(t *testing.T) {
	post := func(fields string) string {
		return fmt.Sprintf("POST /p HTTP/1.1\r\nHost: h\r\n%s: 1\r\n%s\r\n", idHeader, fields)
	}
	rows := map[string]struct {
		request string
		checked bool
		closes  bool
	}{
		"large body":             {post("Content-Length: 100000\r\n"), true, true},
		"chunked body":           {post("Transfer-Encoding: chunked\r\n"), true, true},
		"body that waits":        {post("Content-Length: 100000\r\nExpect: 100-continue\r\n"), true, true},
		"body that did not wait": {post("Content-Length: 100000\r\nExpect: 100-continue\r\n") + "xxx", true, true},
		"small body":             {post("Content-Length: 3\r\n") + "xxx", false, false},
		"no body":                {get("1"), false, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ran := make(chan struct{}, 1)
			r := newCheckingServer(t, func(context.Context, *message.Request) *message.Response {
				ran <- struct{}{}
				return message.Whole(http.StatusOK, nil, nil)
			}, func(*message.Request) *message.Response { return message.Whole(http.StatusUnauthorized, nil, nil) })
			r.send(c, row.request)
			response, _ := r.read(c)
			c.Check(response.StatusCode == http.StatusUnauthorized, qt.Equals, row.checked)
			c.Check(response.Close, qt.Equals, row.closes)
			c.Check(ran, qt.HasLen, map[bool]int{true: 0, false: 1}[row.checked])
		})
	}
}

// TestBodyAfterRefusalIsNoRequest guards against a body that is taken for a request because its own request was
// refused before the body came: it would run without the check that refused its request.
func TestBodyAfterRefusalIsNoRequest(t *testing.T) {
	for name, fields := range map[string]string{
		"with a length": "Content-Length: %d\r\nExpect: 100-continue\r\n", "in chunks": "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ran := make(chan string, 8)
			r := newCheckingServer(t, func(_ context.Context, request *message.Request) *message.Response {
				ran <- request.Path
				return message.Whole(http.StatusOK, nil, nil)
			}, func(*message.Request) *message.Response { return message.Whole(http.StatusUnauthorized, nil, nil) })
			smuggled := get("2")
			if strings.Contains(fields, "%d") {
				fields = fmt.Sprintf(fields, len(smuggled))
			}
			r.send(c, fmt.Sprintf("POST /p HTTP/1.1\r\nHost: h\r\n%s: 1\r\n%s\r\n", idHeader, fields))
			response, _ := r.read(c)
			c.Assert(response.StatusCode, qt.Equals, http.StatusUnauthorized)
			_, _ = io.WriteString(r.conn, smuggled) // fails if the server has closed the connection already
			rest, _ := io.ReadAll(r.reader)         // likewise
			c.Check(string(rest), qt.Equals, "")
			c.Check(ran, qt.HasLen, 0)
		})
	}
}

// TestDrainClosesAfterLastResponse: only the last response closes the connection, so that no
// pipelined request is lost.
func TestDrainClosesAfterLastResponse(t *testing.T) {
	c := qt.New(t)
	second := make(chan struct{})
	draining := make(chan struct{})
	r := newTestServer(t, func(ctx context.Context, request *message.Request) *message.Response {
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

// brokenStream is a response body that fails after some bytes.
type brokenStream struct{ sent bool }

func (b *brokenStream) Read(data []byte) (int, error) {
	if b.sent {
		return 0, errors.New("the instance closed the connection")
	}
	b.sent = true
	return copy(data, "some"), nil
}

func (b *brokenStream) Close() error { return nil }

// TestBrokenStreamIsIncomplete: the client sees that a response is incomplete, with a length
// and with chunks.
func TestBrokenStreamIsIncomplete(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 100, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestServer(t, func(context.Context, *message.Request) *message.Response {
				return &message.Response{Status: http.StatusOK, Header: make(http.Header), Stream: &brokenStream{}, Length: length}
			})
			r.send(c, get("1"))
			response, err := http.ReadResponse(r.reader, nil)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(response.Body)
			c.Check(err, qt.IsNotNil)
		})
	}
}

// TestCloseIdleKeepsBusyConnections: CloseIdle does not close a connection with a request in
// progress.
func TestCloseIdleKeepsBusyConnections(t *testing.T) {
	c := qt.New(t)
	began, proceed := make(chan struct{}), make(chan struct{})
	r := newTestServer(t, func(ctx context.Context, request *message.Request) *message.Response {
		close(began)
		<-proceed
		return echo(ctx, request)
	})
	r.send(c, get("1"))
	<-began
	r.server.CloseIdle()
	close(proceed)
	_, body := r.read(c)
	c.Check(body, qt.Equals, "1:")
}

// TestCloseDropsListedFields guards against fields of one connection that a client passes on: net/http drops
// the list of them when it reads that the connection closes.
func TestCloseDropsListedFields(t *testing.T) {
	for name, closes := range map[string]bool{"kept open": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newTestServer(t, func(_ context.Context, request *message.Request) *message.Response {
				return message.Whole(http.StatusOK, http.Header{"Connection": {"Listed"}, "Listed": {"1"}}, []byte(request.ID))
			})
			if closes {
				r.server.Drain()
			}
			r.send(c, get("1"))
			response, _ := r.read(c)
			c.Check(response.Close, qt.Equals, closes)
			c.Check(response.Header.Get("Listed") == "", qt.Equals, closes)
			message.StripHopByHop(response.Header)
			c.Check(response.Header["Listed"], qt.IsNil)
		})
	}
}

// TestMalformedFieldNames guards against a request that this parser and the next one read differently: a length or a
// coding behind a blank does not count here, so that the body would be taken for another request.
func TestMalformedFieldNames(t *testing.T) {
	const start = "POST /p HTTP/1.1\r\nHost: h\r\n" + idHeader + ": first\r\n"
	smuggled := get("smuggled")
	for name, sent := range map[string]string{
		"a blank in a name":                   start + "Foo Bar: x\r\nContent-Length: 0\r\n\r\n",
		"a length behind a blank":             start + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(smuggled)),
		"chunks behind a blank":               start + "Transfer-Encoding : chunked\r\n\r\n",
		"a control byte in a name":            start + "Fo\x01o: x\r\n\r\n",
		"a blank in the name of a trailer":    start + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n",
		"a control byte in that of a trailer": start + "Transfer-Encoding: chunked\r\n\r\n0\r\nX\x01Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var served atomic.Int64
			r := newTestServer(t, func(_ context.Context, request *message.Request) *message.Response {
				served.Add(1)
				return echo(t.Context(), request)
			})
			r.send(c, sent+smuggled)
			response, _ := r.read(c)
			c.Check(response.StatusCode, qt.Equals, http.StatusBadRequest)
			_, err := r.reader.ReadByte()
			c.Check(err, qt.IsNotNil) // the connection is closed
			c.Check(served.Load(), qt.Equals, int64(0))
		})
	}
}
