// Package simulation runs many distribution engines in one goroutine in virtual time, over a
// simulated network and platform that fail on demand. A run is determined by its seed. Each
// adoption is checked against invariants: a version is never replaced by one that is not
// newer, and only complete published documents are adopted. It is for tests and the bench;
// it opens no sockets.
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

// Participant is what runs on a simulated machine: an Engine, or a wrapper that changes what
// one does.
type Participant interface {
	Handle(now time.Time, event distribution.Event) []distribution.Action
	NextWake() time.Time
}

// Options configures a Fleet.
type Options struct {
	Seed uint64
	// Timing is used by all engines; zero takes the default.
	Timing distribution.Timing
	// Latency is the mean delay of a message; each takes 0.5 to 1.5 times the mean.
	Latency time.Duration
	// AdoptDelay is the mean time that putting a document in force takes.
	AdoptDelay time.Duration
	// ListLag is how long a change takes to show in the platform's list.
	ListLag time.Duration
	// ListDelay is how long the platform takes to answer a read of the list.
	ListDelay      time.Duration
	ReadersPerZone int
	// SourceIsCurrent tells the engines that the source never serves an old revision.
	SourceIsCurrent bool
	MaxLinks        int
	// LinkRate is the bandwidth of a machine's link towards its peers, in bytes per second; zero
	// means unlimited. Small urgent frames overtake large ones, which are sent in parts, and
	// wait for one part at most.
	LinkRate int64
	// SourceLinkRate is the bandwidth of the platform's link, in bytes per second, which the lists and
	// documents of all readers share; zero means unlimited. ListEntryBytes is the size of one entry
	// and ListPage the number of entries in one page.
	SourceLinkRate           int64
	ListEntryBytes, ListPage int
	// ListsStoppedMachines keeps machines whose process has ended on the list, as a list of their
	// instances does.
	ListsStoppedMachines bool
	// Duplicates is the fraction of messages that are delivered twice.
	Duplicates float64
}

// Fleet is a set of simulated machines.
type Fleet struct {
	// Platform is the source and the membership list.
	Platform *Platform
	// OnAdopt, if set, is called for each version that a machine puts in force.
	OnAdopt func(name membership.NodeID, version snapshot.Version)

	options    Options
	random     *rand.Rand
	start      time.Time
	now        time.Time
	queue      eventQueue
	sequence   uint64
	processes  map[membership.NodeID]*process
	names      []membership.NodeID
	links      map[endpoint]*connection
	cut        func(from, to *Machine) bool
	violations []string
}

// Machine identifies a simulated machine and its location.
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

// event is a function to run at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events by time (container/heap). Events of the same time run in the
// order in which they were added.
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

// after schedules a function to run after a delay in virtual time.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.now.Add(delay), sequence: f.sequence, run: run})
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration { return f.now.Sub(f.start) }

// Run advances virtual time by a duration.
func (f *Fleet) Run(duration time.Duration) {
	f.RunUntil(duration, func() bool { return false })
}

// RunUntil advances virtual time until done returns true, by limit at most, and reports
// whether it did.
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

// Violations returns a description of each invariant violation so far.
func (f *Fleet) Violations() []string { return f.violations }

func (f *Fleet) reportViolation(format string, arguments ...any) {
	f.violations = append(f.violations, f.Now().String()+": "+fmt.Sprintf(format, arguments...))
}

// Cut sets which machines cannot reach which others; nil means that all can. Frames sent across a cut
// are delivered when it ends, if the link still exists.
func (f *Fleet) Cut(cut func(from, to *Machine) bool) {
	if cut == nil {
		cut = func(_, _ *Machine) bool { return false }
	}
	f.cut = cut
	for _, c := range f.sortedConnections() {
		c.release()
	}
}

// Machines returns the names of all machines in the order in which they were started.
func (f *Fleet) Machines() []membership.NodeID { return slices.Clone(f.names) }

// Machine returns the machine with a name.
func (f *Fleet) Machine(name membership.NodeID) *Machine { return f.processes[name].machine }

// Held returns the version in force on a machine, and whether its process is running.
func (f *Fleet) Held(name membership.NodeID) (snapshot.Version, bool) {
	p := f.processes[name]
	return p.held, p.alive
}

// AllHold reports whether every running process has the version in force.
func (f *Fleet) AllHold(version snapshot.Version) bool {
	for _, p := range f.processes {
		if p.alive && p.held != version {
			return false
		}
	}
	return true
}

// View returns the view of the fleet that a machine's engine last reported.
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

// SentBetweenZones returns how many bytes all machines have sent to peers in other zones.
func (f *Fleet) SentBetweenZones() (bytes int64) {
	for _, p := range f.processes {
		bytes += p.sentBetweenZones
	}
	return bytes
}

func (f *Fleet) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(f.random.Int64N(int64(mean)+1))
}
