// Package simulation runs many distribution engines in one goroutine under
// virtual time, over a network and a platform that fail on demand. A run depends
// on its seed alone. It checks the promises of the project at every adoption. It
// is for tests and the bench; it opens no sockets.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Participant is what runs on a simulated machine: an Engine, or something that
// wraps one and misbehaves.
type Participant interface {
	Handle(now time.Time, event distribution.Event) []distribution.Action
	NextWake() time.Time
}

// Options sets up a Fleet.
type Options struct {
	Seed uint64
	// Timing is that of all engines; zero takes the default.
	Timing distribution.Timing
	// Latency is the mean delay of a message; each takes 0.5 to 1.5 times as long.
	Latency time.Duration
	// AdoptDelay is the longest time that putting a document in force takes.
	AdoptDelay time.Duration
	// ListLag is how old the platform's list is.
	ListLag time.Duration
	// ListDelay is how long the platform takes to answer for the list.
	ListDelay      time.Duration
	ReadersPerZone int
	// SourceIsCurrent says that the source never serves an old revision.
	SourceIsCurrent bool
	MaxLinks        int
	// LinkRate is what a machine's link carries towards its peers, in bytes a second; zero:
	// any. Small frames that need no order pass large ones, but for one part of these.
	LinkRate int64
	// Duplicates is the share of messages that arrive twice.
	Duplicates float64
}

// Fleet is a set of simulated machines.
type Fleet struct {
	// Platform is the source and the membership list.
	Platform *Platform
	// OnAdopt, if set, is told of each version that a machine puts in force.
	OnAdopt func(name membership.NodeID, version snapshot.Version)

	options   Options
	random    *rand.Rand
	start     time.Time
	now       time.Time
	queue     eventQueue
	sequence  uint64
	processes map[membership.NodeID]*process
	names     []membership.NodeID
	links     map[endpoint]*connection
	cut       func(a, b *Machine) bool
	broken    []string
}

// Machine is where a process runs.
type Machine struct {
	Name   membership.NodeID
	Zone   string
	Region string
}

// New returns a fleet without machines.
func New(options Options) *Fleet {
	if options.Timing == (distribution.Timing{}) {
		options.Timing = distribution.DefaultTiming()
	}
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &Fleet{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		start:     start,
		now:       start,
		processes: make(map[membership.NodeID]*process),
		links:     make(map[endpoint]*connection),
		cut:       func(_, _ *Machine) bool { return false },
	}
	f.Platform = newPlatform(f)
	return f
}

// event is something that happens at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events by time (container/heap); events of one time
// keep their order.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q *eventQueue) Push(item any) { *q = append(*q, item.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after runs a function once some virtual time has passed.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now.Add(delay), sequence: f.sequence, run: run})
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration { return f.now.Sub(f.start) }

// Run lets virtual time pass.
func (f *Fleet) Run(duration time.Duration) {
	f.RunUntil(duration, func() bool { return false })
}

// RunUntil lets virtual time pass until done holds, at most limit, and reports
// whether it does.
func (f *Fleet) RunUntil(limit time.Duration, done func() bool) bool {
	end := f.now.Add(limit)
	for !done() {
		if len(f.queue) == 0 || f.queue[0].at.After(end) {
			f.now = end
			return done()
		}
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.run()
	}
	return true
}

// Broken returns the promises that were broken so far, as sentences.
func (f *Fleet) Broken() []string { return f.broken }

func (f *Fleet) breach(format string, arguments ...any) {
	f.broken = append(f.broken, f.Now().String()+": "+fmt.Sprintf(format, arguments...))
}

// Cut decides from now on which machines cannot reach each other; nil: all can.
// What is sent over a cut arrives once it ends, if the link still stands.
func (f *Fleet) Cut(cut func(a, b *Machine) bool) {
	if cut == nil {
		cut = func(_, _ *Machine) bool { return false }
	}
	f.cut = cut
	for _, c := range f.sortedConnections() {
		c.release()
	}
}

// Machines returns the names of all machines in the order of their start.
func (f *Fleet) Machines() []membership.NodeID { return slices.Clone(f.names) }

// Machine returns where a process runs.
func (f *Fleet) Machine(name membership.NodeID) *Machine { return f.processes[name].machine }

// Held returns the version in force on a machine, and whether a process runs
// there.
func (f *Fleet) Held(name membership.NodeID) (snapshot.Version, bool) {
	p := f.processes[name]
	return p.held, p.alive
}

// AllHold reports whether every running process holds the version.
func (f *Fleet) AllHold(version snapshot.Version) bool {
	for _, p := range f.processes {
		if p.alive && p.held != version {
			return false
		}
	}
	return true
}

// View returns what a machine's engine believes of the fleet.
func (f *Fleet) View(name membership.NodeID) *membership.View { return f.processes[name].view }

// Engine returns the engine of a machine.
func (f *Fleet) Engine(name membership.NodeID) *distribution.Engine { return f.processes[name].engine }

// Sent returns how many frames and bytes all machines have sent to peers.
func (f *Fleet) Sent() (frames, bytes int64) {
	for _, p := range f.processes {
		frames += p.sentFrames
		bytes += p.sentBytes
	}
	return frames, bytes
}

func (f *Fleet) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(f.random.Int64N(int64(mean)+1))
}
