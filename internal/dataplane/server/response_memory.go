package server

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/boundedlog"
)

const (
	// DefaultStalledBytes is the default for the bytes of responses that a node holds for clients
	// that do not read.
	DefaultStalledBytes = 4 << 20
	// stallTime is how long a write may block before its client counts as not reading. Up to 20
	// senders of a client with a link of 10 Mbit/s need less for a chunk.
	stallTime = 250 * time.Millisecond
)

// ResponseMemory bounds the memory of the responses that wait for clients that do not read. Beyond
// the bound, it closes the connection that has gone longest without progress. All servers of a node
// share one. It is safe for concurrent use.
type ResponseMemory struct {
	limit int64
	lines *boundedlog.Limiter

	mutex  sync.Mutex
	held   map[*heldResponses]struct{}
	closed int64
}

// NewResponseMemory returns a ResponseMemory with a limit in bytes.
func NewResponseMemory(limit int64, logger logrus.FieldLogger) *ResponseMemory {
	return &ResponseMemory{limit: limit, lines: boundedlog.New(logger), held: make(map[*heldResponses]struct{})}
}

// Closed returns the number of connections that were closed.
func (m *ResponseMemory) Closed() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.closed
}

// Stalled returns the bytes held for clients that do not read.
func (m *ResponseMemory) Stalled() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	bytes, _ := stalledBytes(m.held, time.Now())
	return bytes
}

// heldResponses are the responses of one connection that are ready and not written. A nil one
// counts nothing.
type heldResponses struct {
	memory *ResponseMemory
	close  func()
	client string

	// The memory's mutex guards the fields below.
	bytes int64
	// blockedSince is when the current write began, which is when the client last accepted data;
	// zero: none is in progress.
	blockedSince time.Time
	isClosed     bool
}

// register adds a connection. Its client can be shown in the log, close closes it.
func (m *ResponseMemory) register(client string, close func()) *heldResponses {
	if m == nil {
		return nil
	}
	created := &heldResponses{memory: m, client: client, close: close}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.held[created] = struct{}{}
	return created
}

// remove removes the connection.
func (h *heldResponses) remove() {
	if h == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	delete(h.memory.held, h)
}

// add counts a response that is ready, and enforces the bound.
func (h *heldResponses) add(bytes int64) {
	if h == nil {
		return
	}
	h.memory.mutex.Lock()
	h.bytes += bytes
	h.memory.mutex.Unlock()
	h.memory.enforce(time.Now())
}

// release counts down a response that was written or dropped.
func (h *heldResponses) release(bytes int64) {
	if h == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	h.bytes -= bytes
}

func (h *heldResponses) beginWrite(now time.Time) { h.setBlocked(now) }

func (h *heldResponses) endWrite() { h.setBlocked(time.Time{}) }

func (h *heldResponses) setBlocked(since time.Time) {
	if h == nil {
		return
	}
	h.memory.mutex.Lock()
	defer h.memory.mutex.Unlock()
	h.blockedSince = since
}

// enforce closes the connection that has gone longest without progress while the bound is exceeded.
func (m *ResponseMemory) enforce(now time.Time) {
	for {
		m.mutex.Lock()
		bytes, longest := stalledBytes(m.held, now)
		if bytes <= m.limit {
			m.mutex.Unlock()
			return
		}
		longest.isClosed = true
		m.closed++
		blocked, own := now.Sub(longest.blockedSince), longest.bytes
		m.mutex.Unlock()
		longest.close()
		m.log(longest.client, blocked, own, bytes)
	}
}

func (m *ResponseMemory) log(client string, blocked time.Duration, own, all int64) {
	if entry, ok := m.lines.Take(true); ok {
		entry.WithFields(logrus.Fields{
			"client": client, "blocked_ms": blocked.Milliseconds(), "bytes": own, "stalled_bytes": all,
		}).Warn("connection closed: its client does not read, and too many bytes are held for such clients")
	}
}

// stalledBytes returns the bytes held for clients that do not read, and the connection that has
// gone longest without progress.
func stalledBytes(held map[*heldResponses]struct{}, now time.Time) (bytes int64, longest *heldResponses) {
	for each := range held {
		if each.isClosed || each.blockedSince.IsZero() || now.Sub(each.blockedSince) <= stallTime {
			continue
		}
		bytes += each.bytes
		if longest == nil || each.blockedSince.Before(longest.blockedSince) {
			longest = each
		}
	}
	return bytes, longest
}
