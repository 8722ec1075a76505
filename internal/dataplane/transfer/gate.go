// Package transfer admits large bodies to the link of a machine, one after the other
// in the order of their worth, so that each is quick and what is small still passes.
// Bodies that were not admitted have not been sent.
package transfer

import (
	"context"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

const (
	// AskedBody is the size, in bytes, from which a body asks before it is sent. Below, the
	// body costs a link no more than the question.
	AskedBody = 1 << 10
	// LargeBody is the size, in bytes, from which a body waits for its turn on the link.
	LargeBody = 16 << 10
	// bodyShare is the part of a link that bodies may take. The rest is for calls, the
	// links between nodes and the instance's own traffic.
	bodyShare = 0.93
	// parallel is how many bodies are under way to one node at a time.
	parallel = 1

	// firstRate is believed of a link of which nothing is known, in bytes a second.
	firstRate = 12.5e6
	// rateHalfLife is how fast a rate that was seen is forgotten.
	rateHalfLife = 30 * time.Second
	// A body that takes leaseFactor times its time and leaseSlack more no longer keeps
	// others waiting: its sender may have stopped.
	leaseFactor = 3
	leaseSlack  = 100 * time.Millisecond
)

// Options set up a Gate.
type Options struct {
	// BytesPerSecond is the link's capacity; zero: it is learned from what is seen.
	BytesPerSecond float64
}

// Gate admits bodies to one link. It is safe for concurrent use.
type Gate struct {
	options Options
	waiting *queue.Queue

	mutex sync.Mutex
	// rate is the best rate that was seen lately, in bytes a second, as of seenAt.
	rate   float64
	seenAt time.Time
}

// NewGate returns a Gate with nothing under way.
func NewGate(options Options) *Gate {
	return &Gate{options: options, waiting: queue.New(parallel), rate: firstRate}
}

// Rate is the rate at which a body is expected to come, in bytes a second.
func (g *Gate) Rate() float64 {
	if g.options.BytesPerSecond > 0 {
		return bodyShare * g.options.BytesPerSecond
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.rate
}

// Pace is the rate that the sender of a body must not exceed, in bytes a second; zero:
// as fast as the link takes it.
func (g *Gate) Pace() int64 {
	if g.options.BytesPerSecond <= 0 {
		return 0
	}
	return int64(g.Rate())
}

// Duration is how long a body is expected to be under way.
func (g *Gate) Duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / g.Rate() * float64(time.Second))
}

// Backlog is how long the bodies that were admitted or wait will take.
func (g *Gate) Backlog() time.Duration { return g.waiting.Backlog() }

// Acquire waits until a body may be sent. Its Expected is how long it is under way;
// without a Grant it tells why, and after which time one is likely.
func (g *Gate) Acquire(ctx context.Context, ticket queue.Ticket, bytes int64) (*Grant, queue.Refusal, time.Duration) {
	ticket.Expected = g.Duration(bytes)
	ticket.Length = ticket.Expected
	slot, refusal, wait := g.waiting.Acquire(ctx, ticket)
	if refusal != queue.None {
		return nil, refusal, wait
	}
	grant := &Grant{gate: g, slot: slot, bytes: bytes, granted: time.Now()}
	grant.lease = time.AfterFunc(leaseFactor*ticket.Expected+leaseSlack, func() { slot.Release(false) })
	return grant, queue.None, 0
}

// note takes over the rate of a body that came whole.
func (g *Gate) note(bytes int64, lasted time.Duration) {
	now := time.Now()
	seen := float64(bytes) / max(lasted, time.Millisecond).Seconds()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if seen >= g.rate || now.Sub(g.seenAt) > rateHalfLife {
		g.rate, g.seenAt = seen, now
	}
}

// Grant is the right to send one body. It ends with Received or Release.
type Grant struct {
	gate    *Gate
	slot    *queue.Slot
	lease   *time.Timer
	bytes   int64
	granted time.Time
}

// Received ends the grant of a body that came whole.
func (g *Grant) Received() {
	g.gate.note(g.bytes, time.Since(g.granted))
	g.lease.Stop()
	g.slot.Release(true)
}

// Release ends the grant of a body that did not come whole.
func (g *Grant) Release() {
	g.lease.Stop()
	g.slot.Release(false)
}
