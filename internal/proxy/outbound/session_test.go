package outbound_test

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

	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Server-sent events are forwarded one by one, and the stream survives the route's
// timeout and a change of configuration.
func TestEventStreamOutlivesTimeoutAndConfiguration(t *testing.T) {
	r := newHarness(t)
	const timeout = 50 * time.Millisecond
	r.configure(func(route *snapshot.Route) { route.Timeout = timeout })
	next := make(chan string)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		for event := range next {
			_, _ = fmt.Fprintf(w, "data: %s\n\n", event)
			_ = http.NewResponseController(w).Flush()
		}
	})
	began := time.Now()
	go func() { next <- "first" }()
	response, err := r.client.Do(r.request("GET", "/", nil))
	r.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	expect := func(event string) {
		line, err := reader.ReadString('\n')
		r.Assert(err, qt.IsNil)
		r.Check(line, qt.Equals, "data: "+event+"\n")
		_, err = reader.ReadString('\n')
		r.Assert(err, qt.IsNil)
	}
	expect("first")
	for number := range 20 {
		r.configure(func(route *snapshot.Route) { route.Match.Host = fmt.Sprintf("host%d.test", number) })
	}
	timer := time.NewTimer(timeout - time.Since(began) + timeout) // until the route's timeout has passed
	<-timer.C
	next <- "second"
	expect("second")
	close(next)
	_, err = reader.ReadString('\n')
	r.Check(err, qt.Equals, io.EOF)
}

// An upgraded connection relays bytes in both directions, and each direction ends on
// its own.
func TestUpgrade(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n"+
			outcome.HeaderLoad+": 1\r\n\r\n")
		all, _ := io.ReadAll(buffered) // until the caller closes its direction
		_, _ = conn.Write(all)
	})
	conn, reader := r.sendRaw("GET / HTTP/1.1\r\nHost: booking.test\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\nearly ")
	response, err := http.ReadResponse(reader, nil)
	r.Assert(err, qt.IsNil)
	r.Check(response.StatusCode, qt.Equals, http.StatusSwitchingProtocols)
	r.Check(response.Header, qt.DeepEquals, http.Header{"Connection": {"Upgrade"}, "Upgrade": {"echo"}})
	_, err = io.WriteString(conn, "late")
	r.Assert(err, qt.IsNil)
	r.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	echoed, err := io.ReadAll(reader)
	r.Assert(err, qt.IsNil)
	r.Check(string(echoed), qt.Equals, "early late")
}

// Close aborts a session that is still open.
func TestCloseAbortsSessions(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	_, reader := r.sendRaw("GET / HTTP/1.1\r\nHost: booking.test\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
	_, err := http.ReadResponse(reader, nil)
	r.Assert(err, qt.IsNil)
	r.Assert(r.proxy.Close(), qt.IsNil)
	_, err = reader.ReadByte()
	r.Check(err, qt.IsNotNil)
}

// The instance responds while the caller is still sending.
func TestFullDuplex(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		piece := make([]byte, 4)
		for {
			if _, err := io.ReadFull(request.Body, piece); err != nil {
				return
			}
			_, _ = w.Write(piece)
			_ = control.Flush()
		}
	})
	body, caller := io.Pipe()
	go func() { _, _ = io.WriteString(caller, "one ") }()
	response, err := r.client.Do(r.request("POST", "/", body))
	r.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	piece := make([]byte, 4)
	for _, next := range []string{"two ", "six ", ""} {
		_, err := io.ReadFull(response.Body, piece)
		r.Assert(err, qt.IsNil)
		if next != "" {
			_, err = io.WriteString(caller, next)
			r.Assert(err, qt.IsNil)
		}
	}
	r.Check(string(piece), qt.Equals, "six ")
	r.Assert(caller.Close(), qt.IsNil)
	_, err = response.Body.Read(piece)
	r.Check(err, qt.Equals, io.EOF)
}

// Drain asks callers to close their connections and returns only when the request in
// progress has ended.
func TestDrain(t *testing.T) {
	r := newHarness(t)
	r.configure(nil)
	arrived, release := make(chan struct{}), make(chan struct{})
	r.addInstance("a", func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	slow := make(chan string, 1)
	go func() {
		_, body := r.do(r.request("GET", "/slow", nil))
		slow <- body
	}()
	<-arrived
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	r.Check(r.proxy.Drain(cancelled), qt.ErrorIs, context.Canceled)

	drained := make(chan error, 1)
	go func() { drained <- r.proxy.Drain(context.Background()) }()
	response, body := r.do(r.request("GET", "/", nil))
	r.Check(body, qt.Equals, "done")
	r.Check(response.Close, qt.IsTrue)
	select {
	case <-drained:
		t.Fatal("Drain returned while a request was in progress")
	default:
	}
	close(release)
	r.Check(<-slow, qt.Equals, "done")
	r.Check(<-drained, qt.IsNil)
}
