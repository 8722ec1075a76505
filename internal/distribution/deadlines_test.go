package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// newReadingEngine returns an engine that reads the source, and the time.
func newReadingEngine(c *qt.C) (*Engine, time.Time) {
	engine := NewEngine(EngineOptions{
		Self: membership.Record{Node: "self", Incarnation: 1, State: membership.StateReady, Region: "south", Zone: "zone", PeerAddress: "self"},
		Seed: 1, Timing: DefaultTiming(),
	})
	now := time.Unix(1_000_000, 0)
	for end := now.Add(time.Minute); !engine.sourceReader.active && now.Before(end); now = engine.NextWake() {
		engine.Handle(now, Tick{})
		if request := engine.members.request; request != 0 {
			engine.Handle(now, MembersListed{Request: request, Outcome: source.Outcome{Status: source.StatusFresh}, Members: []membership.ListedMember{
				{Node: "self", PeerAddress: "self", Region: "south", Zone: "zone", State: membership.ListedLive},
			}})
		}
	}
	c.Assert(engine.sourceReader.active, qt.IsTrue)
	return engine, now
}

// checkWakesLater checks that an engine whose deadline has passed does not keep asking to be woken at once.
func checkWakesLater(c *qt.C, engine *Engine, now time.Time) {
	const ticks = 5 // a deadline may lead to another one that is due
	for range ticks {
		engine.Handle(now, Tick{})
	}
	c.Check(engine.NextWake().After(now), qt.IsTrue, qt.Commentf("due %s ago", now.Sub(engine.NextWake())))
}

// TestOvertakenPollOfRefusedVersion guards against a node that uses up its processor: a peer delivers a revision
// that the running poll should have brought, and the newest version falls below that of the poll again, as
// the document is refused.
func TestOvertakenPollOfRefusedVersion(t *testing.T) {
	c := qt.New(t)
	engine, now := newReadingEngine(c)
	reader := &engine.sourceReader
	reader.poll, reader.pollAt, reader.pollAfter = 7, time.Time{}, snapshot.Revision(10)
	reader.overtakenAt = now.Add(-lateAnswerLimit)
	checkWakesLater(c, engine, now)
	c.Check(reader.late, qt.IsFalse)
}

// TestPassedDeadlinesAreHandled guards against deadlines that an event sets and no handler moves or clears: the
// engine would ask to be woken again at once, for ever.
func TestPassedDeadlinesAreHandled(t *testing.T) {
	for name, set := range map[string]func(engine *Engine, past time.Time){
		"expiry of records":       func(e *Engine, past time.Time) { e.fleet.expireAt = past },
		"report of the fleet":     func(e *Engine, past time.Time) { e.fleet.notifyAt = past },
		"flush of records":        func(e *Engine, past time.Time) { e.outbox.flushAt = past },
		"maintenance of links":    func(e *Engine, past time.Time) { e.overlay.maintainAt = past },
		"retry of suspected":      func(e *Engine, past time.Time) { e.overlay.retrySuspectedAt = past },
		"read of the list":        func(e *Engine, past time.Time) { e.members.nextRequestAt = past },
		"end of the recheck":      func(e *Engine, past time.Time) { e.start.recheckUntil = past },
		"poll":                    func(e *Engine, past time.Time) { e.sourceReader.poll, e.sourceReader.pollAt = 0, past },
		"fetch":                   func(e *Engine, past time.Time) { e.sourceReader.fetch, e.sourceReader.fetchAt = 0, past },
		"overtaken poll":          func(e *Engine, past time.Time) { e.sourceReader.poll, e.sourceReader.overtakenAt = 7, past },
		"start of reading":        func(e *Engine, past time.Time) { e.setReading(false); e.sourceReader.startReadingAt = past },
		"poll of a former reader": func(e *Engine, past time.Time) { e.setReading(false); e.sourceReader.pollAt = past },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			engine, now := newReadingEngine(c)
			set(engine, now.Add(-time.Second))
			checkWakesLater(c, engine, now)
		})
	}
}
