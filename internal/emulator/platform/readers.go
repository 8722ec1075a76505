package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/source"
)

// clientOf names the client of a request. A node says its name in a header. A
// client that does not is named by its IP and port, so each of its connections
// counts as a client: the count is then too high, never too low.
func clientOf(r *http.Request) string {
	if name := r.Header.Get(source.NodeHeader); name != "" {
		return name
	}
	return r.RemoteAddr
}

// presence is when one client was last seen.
type presence struct {
	active int // reads in progress
	last   time.Time
}

// census holds the clients with a read in progress or one that ended less than
// a window ago.
type census struct {
	window  time.Duration
	clients map[string]*presence
	max     int
}

func newCensus(window time.Duration) *census {
	return &census{window: window, clients: make(map[string]*presence)}
}

func (c *census) enter(client string, now time.Time) {
	seen, ok := c.clients[client]
	if !ok {
		seen = &presence{}
		c.clients[client] = seen
	}
	seen.active++
	seen.last = now
	c.max = max(c.max, len(c.clients))
}

func (c *census) leave(client string, now time.Time) {
	seen := c.clients[client]
	seen.active--
	seen.last = now
}

func (c *census) expire(now time.Time) {
	for client, seen := range c.clients {
		if seen.active == 0 && now.Sub(seen.last) >= c.window {
			delete(c.clients, client)
		}
	}
}

func (c *census) holds(client string) bool {
	_, ok := c.clients[client]
	return ok
}

// readerCensus admits readers of the configuration up to a limit. It also counts
// all who asked, so that a herd shows although it was refused.
type readerCensus struct {
	mutex    sync.Mutex
	limit    int // zero: none
	admitted *census
	asking   *census
}

func newReaderCensus(limit int, window time.Duration) *readerCensus {
	return &readerCensus{limit: limit, admitted: newCensus(window), asking: newCensus(window)}
}

// enter begins a read and reports whether it is admitted. The caller ends it
// with leave in both cases.
func (c *readerCensus) enter(client string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	c.asking.enter(client, now)
	full := c.limit > 0 && len(c.admitted.clients) >= c.limit
	if full && !c.admitted.holds(client) {
		return false
	}
	c.admitted.enter(client, now)
	return true
}

func (c *readerCensus) leave(client string, admitted bool, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asking.leave(client, now)
	if admitted {
		c.admitted.leave(client, now)
	}
}

// count returns the readers and the clients that asked, now and at most.
func (c *readerCensus) count(now time.Time) (readers, readersMax, asking, askingMax int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	return len(c.admitted.clients), c.admitted.max, len(c.asking.clients), c.asking.max
}

func (c *readerCensus) expire(now time.Time) {
	c.admitted.expire(now)
	c.asking.expire(now)
}
