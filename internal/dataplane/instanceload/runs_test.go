package instanceload_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/instanceload"
)

// sidecarModel is a sidecar with its Runs and the instance that it sends requests to. Requests arrive at the
// instance in the order in which they are sent; answers arrive in any order.
type sidecarModel struct {
	runs       instanceload.Runs
	now        time.Time
	slots      int
	includes   bool // the load includes the request with whose answer it comes
	inProgress []*instanceload.Run
	closing    []*instanceload.Run // answered, with a body on its way
	abandoned  []*instanceload.Run // on which the instance still works
	working    []*instanceload.Run // at the instance
	answers    []runAnswer         // on their way
	most       int
}

type runAnswer struct {
	run  *instanceload.Run
	load instanceload.Load
	made time.Time
}

// tick lets time pass, and receives the answers that were on their way for as long as they can be.
func (m *sidecarModel) tick(passed time.Duration) {
	m.now = m.now.Add(passed)
	m.runs.Settle(m.now)
	for i := len(m.answers) - 1; i >= 0; i-- {
		if m.now.Sub(m.answers[i].made) >= instanceload.FlightTime-time.Millisecond {
			m.receive(i)
		}
	}
}

func (m *sidecarModel) send() {
	if len(m.inProgress)+len(m.closing)+m.runs.Abandoned() >= m.slots {
		return
	}
	run := m.runs.Begin(m.now)
	m.inProgress, m.working = append(m.inProgress, run), append(m.working, run)
	m.most = max(m.most, len(m.working))
}

func (m *sidecarModel) finish(i int) {
	run := m.working[i]
	total := len(m.working)
	m.working = slices.Delete(m.working, i, i+1)
	if slices.Contains(m.abandoned, run) {
		m.abandoned = without(m.abandoned, run)
		return
	}
	if !m.includes {
		total--
	}
	m.answers = append(m.answers, runAnswer{run, instanceload.Load{Running: total, Slots: m.slots, SlowdownPercent: 100}, m.now})
}

func (m *sidecarModel) receive(i int) {
	received := m.answers[i]
	m.answers = slices.Delete(m.answers, i, i+1)
	if !slices.Contains(m.inProgress, received.run) {
		return // its caller left
	}
	m.runs.Answered(received.run, m.now)
	m.runs.Observe(received.run, received.load, true, m.now)
	m.inProgress, m.closing = without(m.inProgress, received.run), append(m.closing, received.run)
}

func (m *sidecarModel) close(i int) {
	m.runs.End(m.closing[i], m.now)
	m.closing = slices.Delete(m.closing, i, i+1)
}

func (m *sidecarModel) leave(i int, stops bool) {
	run := m.inProgress[i]
	m.inProgress = without(m.inProgress, run)
	m.runs.Abandon(run, time.Hour, m.now)
	if stops {
		m.working = without(m.working, run)
	} else if slices.Contains(m.working, run) {
		m.abandoned = append(m.abandoned, run)
	}
}

func without(runs []*instanceload.Run, gone *instanceload.Run) []*instanceload.Run {
	return slices.DeleteFunc(slices.Clone(runs), func(each *instanceload.Run) bool { return each == gone })
}

// TestNeverMoreThanTheSlots checks with random requests, answers that overtake each other and callers that leave
// that the instance never gets more requests than its slots, counting those that it goes on with, and that
// slots are taken by such requests only where callers have left.
func TestNeverMoreThanTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &sidecarModel{now: epoch, slots: rapid.IntRange(1, 9).Draw(t, "slots"), includes: rapid.Bool().Draw(t, "includes")}
		pick := func(length int) int { return rapid.IntRange(0, length-1).Draw(t, "which") }
		left := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.tick(time.Duration(rapid.IntRange(1, 10).Draw(t, "millis")) * time.Millisecond)
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 4:
				m.send()
			case action < 6 && len(m.working) > 0:
				m.finish(pick(len(m.working)))
			case action < 7 && len(m.closing) > 0:
				m.close(pick(len(m.closing)))
			case action < 9 && len(m.answers) > 0:
				m.receive(pick(len(m.answers)))
			case action == 9 && len(m.inProgress) > 0:
				m.leave(pick(len(m.inProgress)), rapid.Bool().Draw(t, "stops"))
				left++
			}
			if m.most > m.slots {
				t.Fatalf("%d requests at an instance of %d slots", m.most, m.slots)
			}
			if m.runs.Abandoned() > left || m.runs.Abandoned() < len(m.abandoned) {
				t.Fatalf("%d requests count as abandoned; the instance works on %d, %d callers left", m.runs.Abandoned(), len(m.abandoned), left)
			}
		}
	})
}

// TestSlotsReturn checks that the next answer to a request that is sent after the instance has ended abandoned
// requests returns their slots: all of them once it is known whether the load includes the answered request.
func TestSlotsReturn(t *testing.T) {
	for name, includes := range map[string]bool{"answered request included": true, "not included": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := &sidecarModel{now: epoch, slots: 9, includes: includes}
			m.send()
			m.finish(0)
			m.receive(0)
			m.close(0)
			for range 8 {
				m.tick(time.Millisecond)
				m.send()
			}
			for range 8 {
				m.leave(0, true)
			}
			c.Assert(m.runs.Abandoned(), qt.Equals, 8)
			m.tick(time.Millisecond)
			m.send()
			m.finish(0)
			m.receive(0)
			c.Check(m.runs.Abandoned(), qt.Equals, 8)
			m.tick(instanceload.FlightTime)
			c.Check(m.runs.Abandoned(), qt.Equals, 0)
		})
	}
}

// TestAbandonedRunsEnd checks how long a request counts as running after its caller has left if no answer tells.
func TestAbandonedRunsEnd(t *testing.T) {
	const expected = 100 * time.Millisecond
	for name, row := range map[string]struct{ left, want int }{
		"soon after the start": {10, 200},
		"long after the start": {500, 600},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var runs instanceload.Runs
			run := runs.Begin(at(0))
			runs.Abandon(run, expected, at(row.left))
			c.Check(run.Until(), qt.Equals, at(row.want))
			c.Check(runs.Expire(run), qt.IsTrue)
			c.Check(runs.Expire(run), qt.IsFalse)
			c.Check(runs.Abandoned(), qt.Equals, 0)
		})
	}
}

// TestCrashEndsAbandonedRuns checks that a crashed instance keeps no slots taken.
func TestCrashEndsAbandonedRuns(t *testing.T) {
	c := qt.New(t)
	var runs instanceload.Runs
	run := runs.Begin(at(0))
	runs.Abandon(run, time.Hour, at(1))
	ended := runs.Crashed()
	c.Assert(ended, qt.HasLen, 1)
	c.Check(ended[0], qt.Equals, run)
	c.Check(runs.Abandoned(), qt.Equals, 0)
}
