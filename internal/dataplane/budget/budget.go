// Package budget bounds how many more sends than requests the whole fleet makes.
// Each node spends its own share only: a ratio of its own requests and an equal
// part of the slack that the fleet has together.
package budget

import (
	"sync"
	"time"
)

// Options set a Budget.
type Options struct {
	// Ratio is how many repeats a request allows for.
	Ratio float64
	// Slack is how many repeats the fleet may make beyond that in a window.
	Slack float64
	// Window is the time over which both count.
	Window time.Duration
}

// Share is how much of its part a node uses: windows of nodes do not begin
// together, and processes that start again forget what they spent.
const Share = 0.7

const buckets = 10

// Budget counts the requests and the repeats of one service on one node.
type Budget struct {
	options  Options
	mutex    sync.Mutex
	requests [buckets]int
	repeats  [buckets]int
	newest   int64 // number of the newest bucket
}

// New returns a Budget that has seen nothing.
func New(options Options) *Budget { return &Budget{options: options} }

// SetOptions changes the bounds. A changed window begins anew.
func (b *Budget) SetOptions(options Options) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if options.Window != b.options.Window {
		b.requests, b.repeats, b.newest = [buckets]int{}, [buckets]int{}, 0
	}
	b.options = options
}

// Request notes a request's first send.
func (b *Budget) Request(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.requests[b.newest%buckets]++
}

// State tells how many repeats were spent in the window that ends now, and how many are
// allowed among so many nodes.
func (b *Budget) State(now time.Time, nodes int) (spent, allowed float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	return b.state(nodes)
}

// state is State for the buckets as they are. The mutex is held.
func (b *Budget) state(nodes int) (spent, allowed float64) {
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return float64(repeats), Share * (b.options.Ratio*float64(requests) + b.options.Slack/float64(max(nodes, 1)))
}

// Spend takes one repeat, if the node's part allows it among so many nodes.
func (b *Budget) Spend(now time.Time, nodes int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if spent, allowed := b.state(nodes); spent+1 > allowed {
		return false
	}
	b.repeats[b.newest%buckets]++
	return true
}

// advance empties the buckets whose time is over.
func (b *Budget) advance(now time.Time) {
	width := max(b.options.Window/buckets, time.Millisecond)
	number := now.Sub(epoch).Nanoseconds() / int64(width)
	for step := 0; b.newest < number && step < buckets; step++ {
		b.newest++
		b.requests[b.newest%buckets] = 0
		b.repeats[b.newest%buckets] = 0
	}
	if b.newest < number {
		b.newest = number
	}
}

// epoch makes bucket numbers from the monotonic clock.
var epoch = time.Now()
