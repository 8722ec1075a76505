package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/source"
)

// clientOf returns the name of a request's client. A node sends its name in a
// header. A client without that header is named by its IP and port, so that each
// of its connections counts as a client: the count can be too high, never too low.
func clientOf(r *http.Request) string {
	if name := r.Header.Get(source.NodeHeader); name != "" {
		return name
	}
	return r.RemoteAddr
}

// clientActivity holds the reads in progress of a client and the time at which its
// latest read began or ended.
type clientActivity struct {
	active int // reads in progress
	last   time.Time
}

// clientTracker tracks the clients that have a read in progress or had one that ended
// less than a window ago.
type clientTracker struct {
	window  time.Duration
	clients map[string]*clientActivity
	max     int
}

func newClientTracker(window time.Duration) *clientTracker {
	return &clientTracker{window: window, clients: make(map[string]*clientActivity)}
}

func (c *clientTracker) begin(client string, now time.Time) {
	seen, ok := c.clients[client]
	if !ok {
		seen = &clientActivity{}
		c.clients[client] = seen
	}
	seen.active++
	seen.last = now
	c.max = max(c.max, len(c.clients))
}

func (c *clientTracker) end(client string, now time.Time) {
	seen := c.clients[client]
	seen.active--
	seen.last = now
}

func (c *clientTracker) expire(now time.Time) {
	for client, seen := range c.clients {
		if seen.active == 0 && now.Sub(seen.last) >= c.window {
			delete(c.clients, client)
		}
	}
}

func (c *clientTracker) tracks(client string) bool {
	_, ok := c.clients[client]
	return ok
}

// readerLimiter admits readers of the configuration up to a limit. It also counts
// all clients that asked, so that a thundering herd is visible although it was
// refused.
type readerLimiter struct {
	mutex           sync.Mutex
	limit           int // zero: none
	admittedClients *clientTracker
	askingClients   *clientTracker
}

func newReaderLimiter(limit int, window time.Duration) *readerLimiter {
	return &readerLimiter{limit: limit, admittedClients: newClientTracker(window), askingClients: newClientTracker(window)}
}

// begin starts a read and reports whether it is admitted. The caller calls end in
// both cases.
func (c *readerLimiter) begin(client string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	c.askingClients.begin(client, now)
	full := c.limit > 0 && len(c.admittedClients.clients) >= c.limit
	if full && !c.admittedClients.tracks(client) {
		return false
	}
	c.admittedClients.begin(client, now)
	return true
}

func (c *readerLimiter) end(client string, admitted bool, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.askingClients.end(client, now)
	if admitted {
		c.admittedClients.end(client, now)
	}
}

// count returns the current and the highest number of readers and of clients that
// asked.
func (c *readerLimiter) count(now time.Time) (readers, readersMax, asking, askingMax int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	return len(c.admittedClients.clients), c.admittedClients.max, len(c.askingClients.clients), c.askingClients.max
}

func (c *readerLimiter) expire(now time.Time) {
	c.admittedClients.expire(now)
	c.askingClients.expire(now)
}
