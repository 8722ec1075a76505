package classshare_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/classshare"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestGuaranteeFollowsDemand guards against a class that is starved by a more urgent one, or lifted over it: it is owed
// slot time while it gets less than half of its proportional share, and no more than that.
func TestGuaranteeFollowsDemand(t *testing.T) {
	c := qt.New(t)
	shares := classshare.New()
	c.Check(shares.Guaranteed(1, start), qt.Equals, 0.0)
	c.Check(shares.Owed(1, start), qt.Equals, time.Duration(0))
	shares.Arrived(0, 9*time.Second, start)
	shares.Arrived(1, 3*time.Second, start)
	c.Check(shares.Guaranteed(0, start), qt.Equals, 0.375)
	c.Check(shares.Guaranteed(1, start), qt.Equals, 0.125)
	c.Check(shares.Guaranteed(2, start), qt.Equals, 0.0)

	shares.Granted(0, 8*time.Second, start)
	c.Check(shares.Owed(1, start), qt.Equals, time.Second)
	c.Check(shares.Owed(0, start) < 0, qt.IsTrue)
	shares.Granted(1, 2*time.Second, start)
	c.Check(shares.Owed(1, start) < 0, qt.IsTrue)
}

// TestGuaranteeIsForgotten guards against a class that is owed slot time for an overload that is over.
func TestGuaranteeIsForgotten(t *testing.T) {
	c := qt.New(t)
	shares := classshare.New()
	shares.Arrived(1, 10*time.Second, start)
	shares.Granted(0, 10*time.Second, start)
	c.Check(shares.Owed(1, start), qt.Equals, 5*time.Second)
	c.Check(shares.Owed(1, start.Add(20*time.Second)) < time.Millisecond, qt.IsTrue)
}

// TestPrioritiesBeyondTheLastClass guards against an index out of range for priorities that are negative or large.
func TestPrioritiesBeyondTheLastClass(t *testing.T) {
	c := qt.New(t)
	shares := classshare.New()
	shares.Arrived(-5, time.Second, start)
	shares.Arrived(1000, time.Second, start)
	c.Check(shares.Guaranteed(0, start), qt.Equals, 0.25)
	c.Check(shares.Guaranteed(7, start), qt.Equals, 0.25)
}

// TestStateIsFixed guards against state or memory that grows with the nodes that send requests: at 100 and at 1,000
// requests a moment, of any priority, nothing is allocated.
func TestStateIsFixed(t *testing.T) {
	for _, senders := range []int{100, 1000} {
		shares, now := classshare.New(), start
		allocations := testing.AllocsPerRun(10, func() {
			for sender := range senders {
				now = now.Add(time.Microsecond)
				shares.Arrived(sender, time.Millisecond, now)
				shares.Granted(sender, time.Millisecond, now)
				_ = shares.Owed(sender, now)
			}
		})
		qt.Check(t, allocations, qt.Equals, 0.0)
	}
}

// BenchmarkShares measures what a request that gets a slot costs.
func BenchmarkShares(b *testing.B) {
	shares := classshare.New()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		shares.Arrived(1, time.Millisecond, now)
		for priority := range 8 {
			_ = shares.Owed(priority, now)
		}
		shares.Granted(1, time.Millisecond, now)
	}
}
