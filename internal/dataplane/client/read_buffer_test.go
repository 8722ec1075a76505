package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxIdleHeapBytes is the bound for an idle connection: the connection and its descriptor, that of
// the test's server included, and no buffer.
const maxIdleHeapBytes = 3 << 10

// TestIdleConnectionMemory guards against read buffers that idle connections keep: a node has hundreds
// of connections to other nodes, of which few are in use at a time.
func TestIdleConnectionMemory(t *testing.T) {
	c := qt.New(t)
	const connections = 300
	pool := NewPool(Options{Address: startAnswering(c), ConnectTimeout: time.Minute, IdleTimeout: time.Hour})
	c.Cleanup(pool.Close)
	before := liveHeap()
	responses := make([]*Response, connections)
	for i := range responses {
		response, err := pool.Do(context.Background(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		c.Assert(err, qt.IsNil)
		responses[i] = response
	}
	for _, response := range responses {
		response.Discard()
	}
	clear(responses)
	c.Assert(pool.idle, qt.HasLen, connections)
	heap := (liveHeap() - before) / connections
	t.Logf("%d bytes of heap for each idle connection", heap)
	c.Check(heap < maxIdleHeapBytes, qt.IsTrue, qt.Commentf("%d bytes", heap))
}

// startAnswering starts a server that answers the first request on each connection.
func startAnswering(c *qt.C) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				var data [256]byte
				_, _ = conn.Read(data[:])
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				_, _ = conn.Read(data[:]) // until the client has closed
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// liveHeap returns the bytes of the heap in use. Pools are emptied by the second collection.
func liveHeap() int64 {
	for range 3 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestUnreadDataPreventsReuse guards against a buffer that is given back with data that was received
// after the last response: the next request would get it as its response.
func TestUnreadDataPreventsReuse(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.WriteString(far, "xy") }()
	pool := NewPool(Options{IdleTimeout: time.Hour})
	used := &conn{Conn: near, pool: pool, idleTimeout: time.Hour}
	used.takeReader()
	_, err := used.reader.ReadByte()
	c.Assert(err, qt.IsNil)
	pool.put(used)
	c.Check(used.isReusable(time.Now()), qt.IsFalse)

	used.takeReader()
	_, err = used.reader.ReadByte()
	c.Assert(err, qt.IsNil)
	pool.put(used)
	c.Check(used.reader, qt.IsNil)
	c.Check(used.isReusable(time.Now()), qt.IsTrue)
}
