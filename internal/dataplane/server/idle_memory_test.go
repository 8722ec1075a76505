package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// maxIdleHeapBytes is the bound for an idle connection: the connection and its descriptor, that of
// the test's client included, and no buffers.
const maxIdleHeapBytes = 4 << 10

// TestIdleConnectionMemory guards against buffers and goroutines that idle connections keep: a
// node has hundreds of connections from other nodes, of which few are in use at a time.
func TestIdleConnectionMemory(t *testing.T) {
	c := qt.New(t)
	const connections = 300
	r := newTestServer(t, echo)
	goroutinesBefore := runtime.NumGoroutine()
	heapBefore, stacksBefore := liveBytes()
	idle := make([]net.Conn, connections)
	for i := range idle {
		conn, err := net.Dial("tcp", r.conn.RemoteAddr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		idle[i] = conn
	}
	exchangeOnce(c, idle)
	heap, stacks := liveBytes()
	heap, stacks = (heap-heapBefore)/connections, (stacks-stacksBefore)/connections
	t.Logf("for each idle connection: %d bytes of heap, %d of stacks; %d goroutines", heap, stacks, runtime.NumGoroutine())
	const writers = 50 // the server keeps some that are idle
	c.Check(runtime.NumGoroutine()-goroutinesBefore < connections+writers, qt.IsTrue)
	c.Check(heap < maxIdleHeapBytes, qt.IsTrue, qt.Commentf("%d bytes", heap))
}

// exchangeOnce sends a request on each connection and reads its response.
func exchangeOnce(c *qt.C, conns []net.Conn) {
	reader := bufio.NewReader(nil)
	for _, conn := range conns {
		_, err := io.WriteString(conn, get("1"))
		c.Assert(err, qt.IsNil)
		reader.Reset(conn)
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
	}
}

// liveBytes returns the bytes of the heap and the stacks in use. Pools are emptied by the second
// collection, and stacks are halved by each.
func liveBytes() (heap, stacks int64) {
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc), int64(stats.StackInuse)
}

// TestPipelinedBurstAfterIdleTime: requests that arrive together after an idle time, the last one cut
// in two, are all read, although the connection waited without a buffer.
func TestPipelinedBurstAfterIdleTime(t *testing.T) {
	c := qt.New(t)
	r := newTestServer(t, func(ctx context.Context, request *message.Request) *message.Response {
		return echo(ctx, request)
	})
	for range 3 {
		last := get("3")
		r.send(c, get("1")+get("2")+last[:20])
		_, body := r.read(c)
		c.Check(body, qt.Equals, "1:")
		_, body = r.read(c)
		c.Check(body, qt.Equals, "2:")
		r.send(c, last[20:])
		_, body = r.read(c)
		c.Check(body, qt.Equals, "3:")
	}
}
