package client_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// endlessServer answers each request with a start and then with a piece that it repeats until the connection closes.
type endlessServer struct {
	start, piece string
	// sent counts the bytes of the pieces; the server stops at its limit.
	sent  atomic.Int64
	limit int64
	// interval is the time between two pieces.
	interval time.Duration
	ended    chan struct{}
}

// dial returns a connection to the server. A pipe buffers nothing: what was sent was read.
func (s *endlessServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer close(s.ended)
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, err := far.Write([]byte(s.start))
		for err == nil && s.sent.Load() < s.limit {
			var written int
			written, err = far.Write([]byte(s.piece))
			s.sent.Add(int64(written))
			time.Sleep(s.interval)
		}
	}()
	return near, nil
}

// TestEndlessBytesEndTheExchange guards against a node whose memory fills, or whose request waits until its deadline,
// because an instance sends bytes without end that are no response: the connection is closed after few of them.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + instance.HeaderID + ": q\r\n"
	line := strings.Repeat("x", 1000)
	for name, row := range map[string]struct {
		start, piece string
		most         int64
		// unread is set if the response is complete before the bytes.
		unread bool
	}{
		"no response":                  {"", line, 1 << 20, false},
		"a status line":                {"HTTP/1.1 200 ", line, 1 << 20, false},
		"a header field":               {head + "X: ", line, 1 << 20, false},
		"header fields":                {head, "X: y\r\n", 1 << 20, false},
		"empty header fields":          {head, "X:\r\n", 1 << 20, false},
		"interim responses":            {"", "HTTP/1.1 100 Continue\r\n\r\n", 1 << 20, false},
		"header of an interim one":     {"HTTP/1.1 103 Early Hints\r\n", "X: y\r\n", 1 << 20, false},
		"a length of a chunk":          {head + "Transfer-Encoding: chunked\r\n\r\n", "0", 1 << 20, false},
		"an extension of a chunk":      {head + "Transfer-Encoding: chunked\r\n\r\n1;", line, 1 << 20, false},
		"chunks of one byte":           {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + line + "\r\nx\r\n", 1 << 20, false},
		"a trailer":                    {head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", line, 1 << 20, false},
		"a body of another response":   {"HTTP/1.1 200 OK\r\n" + instance.HeaderID + ": other\r\n\r\n", line, 8 << 20, false},
		"bytes after the body":         {head + "Content-Length: 2\r\n\r\nok", line, 1 << 20, true},
		"bytes after an empty body":    {head + "Content-Length: 0\r\n\r\n", line, 1 << 20, true},
		"responses after the response": {head + "Content-Length: 0\r\n\r\n", head + "Content-Length: 0\r\n\r\n", 1 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := &endlessServer{start: row.start, piece: row.piece, limit: 32 << 20, ended: make(chan struct{})}
			pool := client.NewPool(client.Options{
				Address: "instance", IDHeader: instance.HeaderID, ConnectTimeout: time.Minute, IdleTimeout: time.Minute, Dial: server.dial,
			})
			response, err := pool.Do(t.Context(), &client.Request{
				Method: http.MethodGet, Target: "/t", Host: "h.example", ID: "q", Header: http.Header{instance.HeaderID: {"q"}},
			})
			if err == nil {
				_, _, err = response.Buffer()
				_ = response.Close()
			}
			pool.Close()
			<-server.ended
			c.Check(err == nil, qt.Equals, row.unread, qt.Commentf("%v", err))
			c.Check(server.sent.Load() <= row.most, qt.IsTrue, qt.Commentf("%d bytes were read", server.sent.Load()))
			var failure *client.Error
			if errors.As(err, &failure) {
				c.Check(failure.Invalid, qt.IsTrue)
			}
		})
	}
}

// TestDrippingBytesHoldNoRequest guards against a request that waits until its deadline for bytes that come one by one
// and are no response, or for the rest of a response that rejects it: another instance could serve it.
func TestDrippingBytesHoldNoRequest(t *testing.T) {
	for name, row := range map[string]struct {
		start   string
		most    time.Duration
		discard bool
	}{
		"no response":         {"", time.Second, false},
		"body of a rejection": {"HTTP/1.1 421 Misdirected Request\r\n" + instance.HeaderID + ": q\r\nContent-Length: 1000\r\n\r\n", 100 * time.Millisecond, true},
		"chunks of one":       {"HTTP/1.1 421 Misdirected Request\r\n" + instance.HeaderID + ": q\r\nTransfer-Encoding: chunked\r\n\r\n", 100 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				server := &endlessServer{start: row.start, piece: "1", limit: 1 << 20, interval: 100 * time.Millisecond, ended: make(chan struct{})}
				pool := client.NewPool(client.Options{
					Address: "instance", IDHeader: instance.HeaderID, ConnectTimeout: time.Minute, IdleTimeout: time.Minute, Dial: server.dial,
				})
				began := time.Now()
				response, err := pool.Do(t.Context(), &client.Request{
					Method: http.MethodGet, Target: "/t", Host: "h.example", ID: "q", Header: http.Header{instance.HeaderID: {"q"}},
				})
				c.Assert(err == nil, qt.Equals, row.discard)
				if row.discard {
					response.Discard()
				}
				c.Check(time.Since(began) <= row.most, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				<-server.ended
			})
		})
	}
}
