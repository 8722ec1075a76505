package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
)

func limitedTo(perSecond float64) statement.Limit {
	return statement.Limit{Stated: true, PerSecond: perSecond}
}

// TestSendersAreHeardUntilTheFirstAnswer checks that a new node applies the lowest limit that senders have
// heard, and none of them any more once the instance has answered: senders may have heard it long ago.
func TestSendersAreHeardUntilTheFirstAnswer(t *testing.T) {
	c := qt.New(t)
	now := modelStart
	stated := newStatedLimit(statement.NewTracker(), now)
	c.Check(stated.assume(modelProcess, limitedTo(9), now), qt.IsTrue)
	c.Check(stated.assume(modelProcess, limitedTo(4), now), qt.IsTrue)
	c.Check(stated.assume(modelProcess, limitedTo(9), now), qt.IsFalse)
	c.Check(stated.limit, qt.Equals, limitedTo(4))
	c.Check(stated.Delay(0, now) > 0, qt.IsTrue)

	_, _, changed := stated.observe(modelProcess, statement.Statement{}, now, now.Add(time.Millisecond))
	c.Check(changed, qt.IsTrue)
	c.Check(stated.assume(modelProcess, limitedTo(4), now), qt.IsFalse)
	c.Check(stated.Delay(100, now), qt.Equals, time.Duration(0))
}

// TestLimitEndsWithItsProcess checks that the next instance at an address does not inherit the limit of the
// former one, and that an instance keeps its limit when its start time becomes known.
func TestLimitEndsWithItsProcess(t *testing.T) {
	c := qt.New(t)
	now := modelStart
	stated := newStatedLimit(statement.NewTracker(), now)
	unlisted := snapshot.InstanceID{Name: modelProcess.Name}
	stated.observe(unlisted, statement.Statement{Limit: limitedTo(1)}, now, now)
	c.Check(stated.assume(modelProcess, statement.Limit{}, now), qt.IsFalse)
	c.Check(stated.limit, qt.Equals, limitedTo(1))
	next := snapshot.InstanceID{Name: modelProcess.Name, StartedMillis: modelProcess.StartedMillis + 1}
	c.Check(stated.assume(next, statement.Limit{}, now), qt.IsTrue)
	c.Check(stated.limit.Stated, qt.IsFalse)
}

// TestUnconfirmedLimitIsSlowed checks that requests start at the lowest rate while no answer has confirmed
// the limit for a while, and at the limit again with the next answer.
func TestUnconfirmedLimitIsSlowed(t *testing.T) {
	c := qt.New(t)
	now := modelStart
	stated := newStatedLimit(statement.NewTracker(), now)
	answer := statement.Statement{Limit: limitedTo(100)}
	stated.observe(modelProcess, answer, now, now)
	begun := func() (count int) {
		for stated.Begin(now) == 0 {
			count++
		}
		return count
	}
	now = now.Add(400 * time.Millisecond)
	c.Check(begun(), qt.Equals, 11)
	now = now.Add(time.Minute)
	c.Check(begun(), qt.Equals, 1)
	_, _, changed := stated.observe(modelProcess, answer, now, now)
	c.Check(changed, qt.IsTrue)
	now = now.Add(100 * time.Millisecond)
	c.Check(begun(), qt.Equals, 10)
}

// TestReasonOfTheTighterLimit checks which limit a refusal names while an instance is cold and states a limit.
func TestReasonOfTheTighterLimit(t *testing.T) {
	c := qt.New(t)
	now := modelStart
	cold := ratelimit.NewLimit(now)
	rates := rateLimits{cold: cold, stated: newStatedLimit(statement.NewTracker(), now)}
	cold.Set(ratelimit.Bounds{Rate: 2, Burst: 1}, ratelimit.Forever, now)
	c.Check(rates.reason(now), qt.Equals, hop.ReasonCold)
	rates.stated.observe(modelProcess, statement.Statement{Limit: limitedTo(1)}, now, now)
	c.Check(rates.reason(now), qt.Equals, hop.ReasonLimited)
	c.Check(rates.Delay(0, now) >= time.Second, qt.IsTrue)
}

// limitThatBegins is a limit that comes into force between Delay and Begin.
type limitThatBegins struct{}

func (limitThatBegins) Begin(time.Time) time.Duration      { return time.Second }
func (limitThatBegins) Delay(int, time.Time) time.Duration { return 0 }

// TestLimitThatBeginsMeanwhile guards against a request that starts without being counted because its instance turns
// out to be cold at that moment.
func TestLimitThatBeginsMeanwhile(t *testing.T) {
	rates := rateLimits{cold: limitThatBegins{}, stated: newStatedLimit(statement.NewTracker(), modelStart)}
	qt.Check(t, rates.Begin(modelStart), qt.Equals, time.Second)
}
