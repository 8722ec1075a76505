package client_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/client"
)

const (
	answerText   = "HTTP/1.1 204 No Content\r\n" + verifyIDHeader + ": verify\r\n\r\n"
	progressText = "HTTP/1.1 102 Processing\r\n\r\n"
)

// scriptedServer answers each request on a connection with the next text of the connection's
// script; after an empty text it sends nothing.
type scriptedServer struct {
	address string
	mutex   sync.Mutex
	scripts [][]string
	// requests holds the targets of all requests, by connection.
	requests [][]string
	// late, if set, runs on the first connection after its script.
	late func(conn net.Conn)
}

func newScriptedServer(c *qt.C, scripts ...[]string) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String(), scripts: scripts, requests: make([][]string, len(scripts))}
	go func() {
		for number := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(number, conn)
		}
	}()
	return s
}

func (s *scriptedServer) serve(number int, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range s.scripts[number] {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.requests[number] = append(s.requests[number], request.RequestURI)
		s.mutex.Unlock()
		_, _ = io.WriteString(conn, text)
	}
	if s.late != nil && number == 0 {
		s.late(conn)
	}
	_, _ = reader.Peek(1) // until the client has closed
}

func (s *scriptedServer) got(number int) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.requests[number]
}

func get(target string, limit time.Duration) *client.Request {
	return &client.Request{Method: http.MethodGet, Target: target, Host: "h", Header: http.Header{}, ID: "verify", SilenceLimit: limit}
}

// do sends a request and returns its progress if it failed, zero if it was answered.
func do(c *qt.C, pool *client.Pool, request *client.Request) (client.Progress, error) {
	response, err := pool.Do(context.Background(), request)
	var failure *client.Error
	if errors.As(err, &failure) {
		return failure.Progress, err
	}
	c.Assert(err, qt.IsNil)
	response.Discard()
	return 0, nil
}

// newProgressPool returns a pool that asks the server for progress reports.
func newProgressPool(server *scriptedServer) *client.Pool {
	return client.NewPool(client.Options{
		Address: server.address, ConnectTimeout: time.Minute, IdleTimeout: time.Hour, ProgressHeader: "X-Progress",
	})
}

// TestIdleConnectionIsCheckedBeforeReuse: a connection can die while others to the same
// server work. One that was idle for a while gets a liveness check before a request, even
// if others received data: without it the request would hang until its timeout, and it
// would be unknown whether it ran.
func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	const checkTimeout = 2 * time.Second // the healthy connection must answer within it, even on a busy machine
	c := qt.New(t)
	now := time.Now()
	server := newScriptedServer(c,
		[]string{answerText, ""},
		[]string{answerText, answerText, answerText, answerText},
		[]string{answerText})
	pool := client.NewPool(client.Options{
		Address: server.address, IDHeader: verifyIDHeader, ConnectTimeout: time.Minute, IdleTimeout: time.Hour,
		VerifyAfter: time.Minute, VerifyIdle: time.Second, VerifyTimeout: checkTimeout, Now: func() time.Time { return now },
	})
	c.Cleanup(pool.Close)
	hold := func(target string) *client.Response {
		response, err := pool.Do(context.Background(), get(target, 0))
		c.Assert(err, qt.IsNil)
		return response
	}
	first, second := hold("/1"), hold("/2")
	first.Discard()
	second.Discard() // is reused first
	now = now.Add(10 * time.Second)
	busy := hold("/3") // after a liveness check
	_, err := do(c, pool, get("/4", 0))
	c.Check(err, qt.ErrorMatches, ".*liveness check.*")
	busy.Discard()
	c.Check(server.got(0), qt.DeepEquals, []string{"/1", client.VerifyTarget})
	c.Check(server.got(1), qt.DeepEquals, []string{"/2", client.VerifyTarget, "/3"})
}

// TestSilenceDuringRequest: a request fails when a server that reports progress stops doing
// so, and can be sent elsewhere before its deadline. Without that, a request on a dead
// connection hung until its timeout.
func TestSilenceDuringRequest(t *testing.T) {
	const limit = 20 * time.Millisecond
	c := qt.New(t)
	server := newScriptedServer(c,
		[]string{progressText + answerText, progressText},
		[]string{answerText})
	pool := newProgressPool(server)
	c.Cleanup(pool.Close)
	_, err := do(c, pool, get("/known", limit))
	c.Assert(err, qt.IsNil)
	progress, err := do(c, pool, get("/silent", limit))
	c.Check(progress, qt.Equals, client.SentWhole)
	c.Check(err, qt.ErrorMatches, ".*nothing received for 20ms.*")
	_, err = do(c, pool, get("/elsewhere", limit))
	c.Check(err, qt.IsNil)
}

// TestSilentServerWithoutAlternative guards against answers that are lost because a slow server sent
// nothing for a while and the request could not be sent elsewhere either: the budget of repeats was
// used up. Such a request awaits its answer, unless the server answers on another connection.
func TestSilentServerWithoutAlternative(t *testing.T) {
	const limit = 20 * time.Millisecond
	for name, row := range map[string]struct {
		// others is what the server sends on connections after the first.
		others []string
		served bool
	}{
		"slow on all connections":       {[]string{""}, true},
		"answers on another connection": {[]string{answerText}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			answered := make(chan struct{})
			server := newScriptedServer(c, []string{progressText + answerText, ""}, row.others, row.others)
			server.late = func(conn net.Conn) {
				<-answered
				_, _ = io.WriteString(conn, answerText)
			}
			pool := client.NewPool(client.Options{
				Address: server.address, IDHeader: verifyIDHeader, ConnectTimeout: time.Minute, IdleTimeout: time.Hour,
				ProgressHeader: "X-Progress", VerifyTimeout: limit,
			})
			c.Cleanup(pool.Close)
			_, err := do(c, pool, get("/known", limit))
			c.Assert(err, qt.IsNil)
			asked := 0
			request := get("/silent", limit)
			request.MayGiveUp = func() bool {
				if asked++; asked == 3 {
					close(answered)
				}
				return false
			}
			_, err = do(c, pool, request)
			c.Check(err == nil, qt.Equals, row.served, qt.Commentf("%v", err))
			if row.served {
				c.Check(asked >= 3, qt.IsTrue)
			}
		})
	}
}

// TestServerWithoutProgressReports: the silence limit does not apply to a server that never
// reports progress, such as one of an earlier version.
func TestServerWithoutProgressReports(t *testing.T) {
	c := qt.New(t)
	server := newScriptedServer(c, []string{""})
	pool := newProgressPool(server)
	c.Cleanup(pool.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_, err := pool.Do(ctx, get("/x", time.Millisecond))
	c.Check(err, qt.ErrorIs, context.DeadlineExceeded)
}

// TestManyProgressReports: where progress reports were asked for, their number is not limited.
// A server that was not asked, such as an instance, may send only a few interim responses.
func TestManyProgressReports(t *testing.T) {
	const reports = 100
	for name, asked := range map[string]bool{"asked for": true, "not asked for": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := newScriptedServer(c, []string{strings.Repeat(progressText, reports) + answerText})
			pool := newProgressPool(server)
			if !asked {
				pool = client.NewPool(client.Options{Address: server.address, ConnectTimeout: time.Minute, IdleTimeout: time.Hour})
			}
			c.Cleanup(pool.Close)
			_, err := do(c, pool, get("/x", time.Minute))
			c.Check(err == nil, qt.Equals, asked)
		})
	}
}

// TestIdleConnectionsOfSilentServerAreDropped: when a request fails by silence, the connections
// that were idle meanwhile may be dead too, so the next request gets a new one.
func TestIdleConnectionsOfSilentServerAreDropped(t *testing.T) {
	c := qt.New(t)
	server := newScriptedServer(c,
		[]string{answerText, ""}, // stays idle
		[]string{progressText + answerText, ""},
		[]string{answerText})
	pool := newProgressPool(server)
	c.Cleanup(pool.Close)
	first, err := pool.Do(context.Background(), get("/1", 0))
	c.Assert(err, qt.IsNil)
	second, err := pool.Do(context.Background(), get("/2", 0))
	c.Assert(err, qt.IsNil)
	first.Discard()
	second.Discard()
	_, err = do(c, pool, get("/silent", 20*time.Millisecond))
	c.Assert(err, qt.IsNotNil)
	_, err = do(c, pool, get("/next", 0))
	c.Check(err, qt.IsNil)
	c.Check(server.got(0), qt.DeepEquals, []string{"/1"})
}
