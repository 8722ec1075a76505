package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestNextLifeOfAnInstance: an instance that starts again under its name is chosen at once,
// though its former life failed; what comes late of that life says nothing of the next one.
func TestNextLifeOfAnInstance(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Mechanisms: mechanism.All()})
	pick := func(born int64) Choice {
		choice, found := b.Pick(Request{
			Route: "r", Target: time.Second, Avoid: func(string) bool { return false }, Now: now,
			Instances: []snapshot.Instance{{Name: "i", Service: "s", State: snapshot.InstanceReady, Slots: 4, Born: born}},
		})
		c.Assert(found, qt.IsTrue)
		return choice
	}
	isEjected := func() bool { return b.instances["i"].ejectedUntil.After(now) }
	first, late := pick(1), pick(1)
	first.Done(Failed, nil, 0, now)
	c.Check(isEjected(), qt.IsTrue)
	second := pick(2)
	c.Check(isEjected(), qt.IsFalse)
	c.Check(b.instances["i"].outstanding, qt.Equals, 1)
	late.Done(Failed, nil, 0, now)
	c.Check(isEjected(), qt.IsFalse)
	c.Check(b.instances["i"].outstanding, qt.Equals, 1)
	pick(1).Done(Abandoned, nil, 0, now) // chosen by an entry of before
	second.Done(Served, nil, 0, now)
	c.Check(b.instances["i"].outstanding, qt.Equals, 0)
}
