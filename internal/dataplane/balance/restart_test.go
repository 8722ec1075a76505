package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestRestartedInstance: an instance that restarts under the same name is chosen at once
// although its former process failed. Late results of the former process do not affect the
// new one.
func TestRestartedInstance(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Mechanisms: mechanism.All()})
	pick := func(startedMillis int64) Choice {
		choice, found := b.Pick(Request{
			Route: "r", Target: time.Second, Avoid: func(string) bool { return false }, Now: now,
			Instances: []snapshot.Instance{{Name: "i", Service: "s", State: snapshot.InstanceReady, Slots: 4, StartedMillis: startedMillis}},
		})
		c.Assert(found, qt.IsTrue)
		return choice
	}
	isEjected := func() bool { return b.instances["i"].ejectedUntil.After(now) }
	first, late := pick(1), pick(1)
	first.Done(DeliveryFailed, nil, 0, now)
	c.Check(isEjected(), qt.IsTrue)
	second := pick(2)
	c.Check(isEjected(), qt.IsFalse)
	c.Check(b.instances["i"].outstanding, qt.Equals, 1)
	late.Done(DeliveryFailed, nil, 0, now)
	c.Check(isEjected(), qt.IsFalse)
	c.Check(b.instances["i"].outstanding, qt.Equals, 1)
	pick(1).Done(Abandoned, nil, 0, now) // chosen by an earlier entry
	second.Done(Served, nil, 0, now)
	c.Check(b.instances["i"].outstanding, qt.Equals, 0)
}
