package coldstart_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/snapshot"
)

var epoch = time.Unix(1000, 0)

// TestPhaseFollowsTheEntry checks that the remaining time of an entry counts from the change
// of the entry rather than from each update, and restarts with another instance.
func TestPhaseFollowsTheEntry(t *testing.T) {
	c := qt.New(t)
	var phase coldstart.Phase
	phase.Follow(snapshot.Instance{Name: "i-1", WarmUpMillis: 3000}, epoch)
	phase.Follow(snapshot.Instance{Name: "i-1", WarmUpMillis: 3000}, epoch.Add(2*time.Second))
	c.Check(phase.Until(), qt.Equals, epoch.Add(3*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-1", WarmUpMillis: 5000}, epoch.Add(2*time.Second)) // cold for longer than before
	c.Check(phase.Until(), qt.Equals, epoch.Add(7*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-1"}, epoch.Add(4*time.Second))
	c.Check(phase.Until(), qt.Equals, time.Time{})
	phase.AssumeCold(time.Second, epoch.Add(5*time.Second))
	c.Check(phase.Until(), qt.Equals, epoch.Add(6*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-2"}, epoch.Add(5*time.Second))
	c.Check(phase.Until(), qt.Equals, time.Time{})
	phase.Follow(snapshot.Instance{Name: "i-2", StartedMillis: 1, WarmUpMillis: 3000}, epoch.Add(6*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-2", StartedMillis: 2, WarmUpMillis: 3000}, epoch.Add(20*time.Second)) // the instance restarted
	c.Check(phase.Until(), qt.Equals, epoch.Add(23*time.Second))
}

// TestOlderEntryEndsNoAssumption guards against an instance that counts as warm because an entry comes that was
// written before the event by which it turned cold.
func TestOlderEntryEndsNoAssumption(t *testing.T) {
	c := qt.New(t)
	var phase coldstart.Phase
	phase.Follow(snapshot.Instance{Name: "i-1", WarmUpMillis: 1500}, epoch)
	phase.AssumeCold(3*time.Second, epoch.Add(time.Second))
	phase.Follow(snapshot.Instance{Name: "i-1"}, epoch.Add(1100*time.Millisecond))
	c.Check(phase.Until(), qt.Equals, epoch.Add(4*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-1", WarmUpMillis: 200}, epoch.Add(2*time.Second))
	c.Check(phase.Until(), qt.Equals, epoch.Add(4*time.Second))
	phase.AssumeCold(time.Second, epoch.Add(2*time.Second)) // older news of another kind
	c.Check(phase.Until(), qt.Equals, epoch.Add(4*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-1", WarmUpMillis: 3000}, epoch.Add(3*time.Second))
	c.Check(phase.Until(), qt.Equals, epoch.Add(6*time.Second))
	phase.Follow(snapshot.Instance{Name: "i-1"}, epoch.Add(4*time.Second))
	c.Check(phase.Until(), qt.Equals, epoch.Add(4*time.Second)) // the assumption ends by itself
}

// TestAssumptionOfNoTime guards against a warm instance that counts as cold for callers that have read the clock a
// moment earlier.
func TestAssumptionOfNoTime(t *testing.T) {
	var phase coldstart.Phase
	phase.AssumeCold(0, epoch)
	qt.Check(t, phase.Until(), qt.Equals, time.Time{})
}
