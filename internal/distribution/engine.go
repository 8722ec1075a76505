package distribution

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wire"
)

// Defaults of EngineOptions.
const (
	DefaultReadersPerZone = 2
	DefaultMaxLinks       = 12
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	Self membership.Record
	// Seed makes the engine's random choices repeatable.
	Seed   uint64
	Timing Timing
	// ReadersPerZone is how many nodes of a zone read the source; zero takes the
	// default.
	ReadersPerZone int
	// MaxLinks bounds the ordinary links; zero takes the default.
	MaxLinks int
	// SourceIsCurrent says that the source never serves a revision older than any it
	// has served before, to any client. A node that holds nothing then reads it at once.
	SourceIsCurrent bool
}

// Engine decides for one node which version to adopt, which peers to link to, what to
// send and whether to read the source. It is a state machine without I/O: Handle takes
// an event and returns actions. It is not safe for concurrent use.
type Engine struct {
	options EngineOptions
	timing  Timing
	random  *rand.Rand
	now     time.Time
	wakeAt  time.Time
	actions []Action
	stopped bool

	table        *membership.Table
	view         *membership.View
	ranking      ranking
	fleet        fleetState
	list         listReplica
	outbox       outbox
	overlay      overlay
	push         pushState
	repair       repairState
	sourceReader readerState
	freshness    freshnessState
	reports      reportState
	members      membersState
	start        startState
	crashes      *suspects.CrashRecords
	changes      changeCache
}

// NewEngine returns an engine that knows no node but its own.
func NewEngine(options EngineOptions) *Engine {
	if options.ReadersPerZone <= 0 {
		options.ReadersPerZone = DefaultReadersPerZone
	}
	if options.MaxLinks <= 0 {
		options.MaxLinks = DefaultMaxLinks
	}
	table := membership.NewTable(options.Self)
	return &Engine{
		options: options,
		timing:  options.Timing,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation))),
		table:   table,
		view:    table.View(),
		fleet:   fleetState{published: table.Self()},
		list:    newListReplica(),
		outbox:  newOutbox(),
		overlay: newOverlay(),
		push:    newPushState(),
		freshness: freshnessState{
			random: rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation)^freshnessStream)),
		},
		reports: newReportState(options.Self),
		crashes: suspects.NewCrashRecords(),
		changes: newChangeCache(),
	}
}

// Handle processes an event that happened at now and returns the resulting actions. The
// caller then has to deliver a Tick at NextWake.
func (e *Engine) Handle(now time.Time, event Event) []Action {
	if e.stopped {
		return nil
	}
	e.now = now
	e.begin()
	e.noticeDelay()
	event.apply(e)
	if !e.stopped {
		e.runTimers()
	}
	actions := e.actions
	e.actions = nil
	return actions
}

// NextWake returns when the engine needs its next Tick.
func (e *Engine) NextWake() time.Time { return e.wakeAt }

// hasLink reports whether the engine knows a link.
func (e *Engine) hasLink(id LinkID) bool { return e.overlay.links[id] != nil }

// View returns the current view of the fleet.
func (e *Engine) View() *membership.View { return e.view }

// Held returns the version in force, or the zero version if there is none.
func (e *Engine) Held() snapshot.Version { return e.push.heldVersion() }

func (Tick) apply(*Engine) {}

func (event SelfState) apply(e *Engine) {
	e.table.SetSelfState(event.State)
	e.publishSelf()
	e.flushRecords()
	e.markFleetChanged(true)
}

func (Stop) apply(e *Engine) {
	e.table.SetSelfState(membership.StateGone)
	e.publishSelf()
	e.flushRecords()
	for _, l := range e.overlay.order {
		if l.phase != phaseDialing {
			e.send(&wire.Goodbye{Reason: wire.GoodbyeLeaving}, l.id)
		}
		e.act(CloseLink{Link: l.id})
	}
	e.cancelRequests()
	e.stopped = true
}

// runTimers does everything that is due and computes the next wake-up time.
func (e *Engine) runTimers() {
	e.runFleetTimers()
	e.endRecheck()
	e.runLinkTimers()
	e.runOverlayTimers()
	e.runPushTimers()
	e.runReadingTimers()
	e.noticeUnconfirmed()
	e.runMembersTimers()
	e.runRecordTimers()
	e.wakeAt = e.earliestDeadline()
}

// earliestDeadline returns the earliest of all deadlines. The next check for expired records is
// always scheduled, so there is always a deadline.
func (e *Engine) earliestDeadline() time.Time {
	wake := e.fleet.expireAt
	earlier := func(at time.Time) {
		if !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	earlier(e.fleet.notifyAt)
	earlier(e.outbox.flushAt)
	earlier(e.overlay.maintainAt)
	earlier(e.overlay.retrySuspectedAt)
	for _, l := range e.overlay.links {
		earlier(l.deadline(e))
	}
	e.push.deadlines(e, earlier)
	e.sourceReader.deadlines(earlier)
	e.freshness.deadlines(e, earlier)
	earlier(e.members.nextRequestAt)
	e.start.deadlines(e, earlier)
	return wake
}

// passed reports whether a deadline is set and has been reached.
func (e *Engine) passed(deadline time.Time) bool {
	return !deadline.IsZero() && !e.now.Before(deadline)
}

func (e *Engine) act(action Action) { e.actions = append(e.actions, action) }

func (e *Engine) log(level LogLevel, format string, arguments ...any) {
	e.act(Log{Level: level, Text: fmt.Sprintf(format, arguments...)})
}

// send encodes a message once and sends it on all the links.
func (e *Engine) send(message wire.Message, links ...LinkID) {
	if len(links) == 0 {
		return
	}
	frame, err := wire.Encode(message)
	if err != nil {
		panic(err) // every message type that the engine sends has an encoding
	}
	e.sendFrame(message.Type(), frame, links...)
}

func (e *Engine) sendFrame(messageType wire.Type, frame []byte, links ...LinkID) {
	for _, id := range links {
		if l := e.overlay.links[id]; l != nil {
			l.lastSent = e.now
		}
	}
	e.act(Send{Links: links, Type: messageType, Frame: frame})
}

// jittered returns a random duration between 0.8 and 1.2 times the mean.
func (e *Engine) jittered(mean time.Duration) time.Duration {
	const spread = 0.4
	return time.Duration(float64(mean) * (1 - spread/2 + spread*e.random.Float64()))
}

// backoff returns a random delay between 0.1 and 2.1 times a mean. The mean starts at low
// and doubles with each failure, up to high.
func (e *Engine) backoff(failures int, low, high time.Duration) time.Duration {
	const maxDoublings = 16
	mean := low << min(max(failures-1, 0), maxDoublings)
	mean = min(max(mean, low), high)
	return mean/10 + time.Duration(e.random.Int64N(int64(2*mean)))
}
