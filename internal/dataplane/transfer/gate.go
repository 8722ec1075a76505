// Package transfer admits large bodies to the network link of a machine one at a time, in
// the order of the queue. Each body is then transferred quickly, and small messages are not
// delayed. No part of a body is sent before it is admitted.
package transfer

import (
	"context"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/classshare"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

const (
	// MinAdmissionBytes is the size in bytes from which the sender of a body asks for admission
	// first. Sending a smaller body costs the link no more than asking.
	MinAdmissionBytes = 1 << 10
	// MinQueuedBytes is the size in bytes from which a body waits until the link is free.
	MinQueuedBytes = 16 << 10
	// bodyShare is the share of a link's capacity that large bodies may use. The rest is
	// left for calls, the connections between nodes and the instance's own traffic.
	bodyShare = 0.93
	// maxConcurrent is the number of bodies that are sent to one node at a time.
	maxConcurrent = 1

	// initialRate is assumed for a link of unknown capacity, in bytes per second.
	initialRate = 12.5e6
	// rateTTL is how long an observed rate is kept before a lower one replaces it.
	rateTTL = 30 * time.Second
	// A body that takes longer than leaseFactor times its expected duration plus leaseSlack
	// no longer blocks others, as its sender may have stalled.
	leaseFactor = 3
	leaseSlack  = 100 * time.Millisecond
)

// Options set up a Gate.
type Options struct {
	// BytesPerSecond is the link's capacity; zero means that it is estimated from the
	// observed rates.
	BytesPerSecond float64
	// ClassShares guarantees each priority a part of the link's time.
	ClassShares bool
}

// Gate admits bodies to one link. It is safe for concurrent use.
type Gate struct {
	options Options
	waiting *queue.Queue

	mutex sync.Mutex
	// rate is the highest recently observed rate, in bytes per second, and rateAt when it
	// was observed.
	rate   float64
	rateAt time.Time
}

// NewGate returns a Gate without transfers in progress.
func NewGate(options Options) *Gate {
	created := &Gate{options: options, waiting: queue.New(maxConcurrent), rate: initialRate}
	if options.ClassShares {
		created.waiting.GuaranteeShares(classshare.New())
	}
	return created
}

// Rate returns the expected transfer rate of a body, in bytes per second.
func (g *Gate) Rate() float64 {
	if g.options.BytesPerSecond > 0 {
		return bodyShare * g.options.BytesPerSecond
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.rate
}

// Pace returns the rate that the sender of a body must not exceed, in bytes per second; zero
// means no limit.
func (g *Gate) Pace() int64 {
	if g.options.BytesPerSecond <= 0 {
		return 0
	}
	return int64(g.Rate())
}

// Duration returns the expected transfer time of a body.
func (g *Gate) Duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / g.Rate() * float64(time.Second))
}

// Backlog returns the expected time until all admitted and waiting bodies are transferred.
func (g *Gate) Backlog() time.Duration { return g.waiting.Backlog() }

// Acquire waits until a body may be sent. It sets the ticket's Expected and Length to the
// transfer time of the body. If it returns no Grant, it returns the reason and the time
// after which one is likely.
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

// recordRate records the transfer rate of a body that was received completely.
func (g *Gate) recordRate(bytes int64, elapsed time.Duration) {
	now := time.Now()
	observed := float64(bytes) / max(elapsed, time.Millisecond).Seconds()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if observed >= g.rate || now.Sub(g.rateAt) > rateTTL {
		g.rate, g.rateAt = observed, now
	}
}

// Grant is the permission to send one body. It ends with Received or Release.
type Grant struct {
	gate    *Gate
	slot    *queue.Slot
	lease   *time.Timer
	bytes   int64
	granted time.Time
}

// Received ends the grant of a body that was received completely.
func (g *Grant) Received() {
	g.gate.recordRate(g.bytes, time.Since(g.granted))
	g.lease.Stop()
	g.slot.Release(true)
}

// Release ends the grant of a body that was not received completely.
func (g *Grant) Release() {
	g.lease.Stop()
	g.slot.Release(false)
}
