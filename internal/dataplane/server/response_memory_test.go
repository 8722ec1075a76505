package server

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/logging"
)

// TestStalledResponsesAreBounded guards against responses that fill the memory because their clients
// do not read, and against closing connections whose clients do.
func TestStalledResponsesAreBounded(t *testing.T) {
	c := qt.New(t)
	memory := NewResponseMemory(1000, logging.Discard())
	now := time.Now()
	var closed []string
	add := func(client string, bytes int64, blockedFor time.Duration) *heldResponses {
		created := memory.register(client, func() { closed = append(closed, client) })
		created.add(bytes)
		if blockedFor > 0 {
			created.beginWrite(now.Add(-blockedFor))
		}
		return created
	}
	add("waits for the link", 5000, 0)
	add("reads slowly", 5000, stallTime/2)
	first := add("stopped first", 600, time.Minute)
	add("stopped later", 300, time.Second)
	memory.enforce(now)
	c.Check(closed, qt.HasLen, 0)
	c.Check(memory.Stalled(), qt.Equals, int64(900))

	first.add(200) // a pipelined response is ready
	c.Check(closed, qt.DeepEquals, []string{"stopped first"})
	c.Check(memory.Stalled(), qt.Equals, int64(300))
	c.Check(memory.Closed(), qt.Equals, int64(1))
	first.remove()
	memory.enforce(now)
	c.Check(closed, qt.HasLen, 1)
}

// TestProgressEndsTheStall checks that a client counts as not reading only since its last progress.
func TestProgressEndsTheStall(t *testing.T) {
	c := qt.New(t)
	memory := NewResponseMemory(1000, logging.Discard())
	now := time.Now()
	slow := memory.register("slow", func() { t.Error("closed") })
	slow.add(5000)
	slow.beginWrite(now.Add(-time.Minute))
	slow.endWrite()
	slow.beginWrite(now)
	memory.enforce(now.Add(stallTime))
	slow.release(5000)
	memory.enforce(now.Add(time.Hour))
	c.Check(memory.Closed(), qt.Equals, int64(0))
}

// TestConnectionOfClosedServerIsNotHeld guards against connections that are accepted while the server closes and
// never leave the memory that all servers of a node share.
func TestConnectionOfClosedServerIsNotHeld(t *testing.T) {
	c := qt.New(t)
	memory := NewResponseMemory(1000, logging.Discard())
	closed := New(Options{Egress: transfer.NewEgress(1000), Memory: memory})
	closed.Close()
	conn, client := net.Pipe()
	defer client.Close()
	closed.start(conn)
	c.Check(memory.held, qt.HasLen, 0)
}
