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

// EngineOptions sets up an Engine.
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
	// SourceIsCurrent says that the source never serves an older revision than one
	// it served before, to whomever: a node that holds nothing reads it at once.
	SourceIsCurrent bool
}

// Engine decides for one node which version to adopt, whom to link to, what to
// send and whether to read the source. It is a state machine: Handle takes an
// event and returns actions. It is for one goroutine.
type Engine struct {
	options EngineOptions
	timing  Timing
	random  *rand.Rand
	now     time.Time
	wakeAt  time.Time
	actions []Action
	stopped bool

	table   *membership.Table
	view    *membership.View
	ranking ranking
	fleet   fleetState
	list    listBook
	outbox  outbox
	overlay overlay
	push    pushState
	repair  repairState
	reading readingState
	members membersState
	start   startState
	crashes *suspects.Book
	changes changeBook
}

// NewEngine returns an engine that knows only itself.
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
		list:    newListBook(),
		outbox:  newOutbox(),
		overlay: newOverlay(),
		push:    newPushState(),
		crashes: suspects.NewBook(),
		changes: newChangeBook(),
	}
}

// Handle takes an event that happened at now and returns what to do. Its caller
// then arranges for a Tick at NextWake.
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

// NextWake returns when the engine wants a Tick.
func (e *Engine) NextWake() time.Time { return e.wakeAt }

// hasLink reports whether the engine counts on a link.
func (e *Engine) hasLink(id LinkID) bool { return e.overlay.links[id] != nil }

// View returns the current picture of the fleet.
func (e *Engine) View() *membership.View { return e.view }

// Held returns the version in force, zero if there is none.
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

// runTimers does all that is due and works out the next time to wake.
func (e *Engine) runTimers() {
	e.runFleetTimers()
	e.endRecheck()
	e.runLinkTimers()
	e.runOverlayTimers()
	e.runPushTimers()
	e.runReadingTimers()
	e.runMembersTimers()
	e.runRecordTimers()
	e.wakeAt = e.nextWake()
}

// nextWake returns the earliest of all deadlines. None is farther away than the
// next look for outdated records.
func (e *Engine) nextWake() time.Time {
	wake := e.fleet.expireAt
	earlier := func(at time.Time) {
		if !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	earlier(e.fleet.tellAt)
	earlier(e.outbox.flushAt)
	earlier(e.overlay.maintainAt)
	earlier(e.overlay.retrySuspectedAt)
	for _, l := range e.overlay.links {
		earlier(l.deadline(e))
	}
	e.push.deadlines(e, earlier)
	e.reading.deadlines(earlier)
	earlier(e.members.askAt)
	e.start.deadlines(e, earlier)
	return wake
}

// passed reports whether a deadline is set and reached.
func (e *Engine) passed(deadline time.Time) bool {
	return !deadline.IsZero() && !e.now.Before(deadline)
}

func (e *Engine) act(action Action) { e.actions = append(e.actions, action) }

func (e *Engine) log(level LogLevel, format string, arguments ...any) {
	e.act(Log{Level: level, Text: fmt.Sprintf(format, arguments...)})
}

// send encodes a message once and sends it on links.
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

// jittered returns a random duration of 0.8 to 1.2 times the mean.
func (e *Engine) jittered(mean time.Duration) time.Duration {
	const spread = 0.4
	return time.Duration(float64(mean) * (1 - spread/2 + spread*e.random.Float64()))
}

// backoff returns a random delay below twice a mean that doubles with each
// failure from low up to high (full jitter), but not below a tenth of the mean.
func (e *Engine) backoff(failures int, low, high time.Duration) time.Duration {
	const maxDoublings = 16
	mean := low << min(max(failures-1, 0), maxDoublings)
	mean = min(max(mean, low), high)
	return mean/10 + time.Duration(e.random.Int64N(int64(2*mean)))
}
