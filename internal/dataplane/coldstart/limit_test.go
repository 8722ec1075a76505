package coldstart_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/snapshot"
)

var epoch = time.Unix(1000, 0)

// TestNoSecondExceedsTheBounds checks that with any bursts, node restarts and changes of the
// instance's entry, no second has more requests to a cold instance than the bounds allow.
func TestNoSecondExceedsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := coldstart.Bounds{
			Rate:  rapid.Float64Range(0.5, 30).Draw(t, "rate"),
			Burst: rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		now, coldUntil := epoch, epoch
		limit := coldstart.NewLimit(now)
		limit.Set(bounds, coldUntil, now)
		var begun []time.Time // while cold
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "interval")))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0: // the node restarts
				limit = coldstart.NewLimit(now)
				limit.Set(bounds, coldUntil, now)
			case 1: // the entry changes
				coldUntil = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "cold ms")) * time.Millisecond)
				limit.Set(bounds, coldUntil, now)
			default:
				for range rapid.IntRange(1, 12).Draw(t, "requests") {
					if limit.Begin(now) == 0 && coldUntil.After(now) {
						begun = append(begun, now)
					}
				}
			}
		}
		maxRequests := bounds.Rate + bounds.Burst
		for first := range begun {
			last := first
			for last < len(begun) && begun[last].Before(begun[first].Add(time.Second)) {
				last++
			}
			if float64(last-first) > maxRequests {
				t.Fatalf("%d requests in the second from %s, at most %.2f are allowed", last-first, begun[first], maxRequests)
			}
		}
	})
}

// TestDelayIsKept checks that a request may start once the delay that was returned for it
// has passed.
func TestDelayIsKept(t *testing.T) {
	c := qt.New(t)
	limit := coldstart.NewLimit(epoch)
	limit.Set(coldstart.Bounds{Rate: 4, Burst: 1}, epoch.Add(time.Minute), epoch)
	delay := limit.Begin(epoch)
	c.Assert(delay > 0, qt.IsTrue)
	c.Check(limit.Begin(epoch.Add(delay)), qt.Equals, time.Duration(0))
	c.Check(limit.Delay(2, epoch.Add(delay)) > limit.Delay(0, epoch.Add(delay)), qt.IsTrue)
}

// TestWarmInstanceIsNotLimited checks that the limit ends once the instance is warm, and
// that a service without a cold rate has no limit.
func TestWarmInstanceIsNotLimited(t *testing.T) {
	c := qt.New(t)
	limit := coldstart.NewLimit(epoch)
	limit.Set(coldstart.Bounds{Rate: 1, Burst: 1}, epoch.Add(100*time.Millisecond), epoch)
	c.Check(limit.Begin(epoch), qt.Equals, 100*time.Millisecond)
	warm := epoch.Add(100 * time.Millisecond)
	for range 50 {
		c.Check(limit.Begin(warm), qt.Equals, time.Duration(0))
	}
	limit.Set(coldstart.Bounds{Burst: 1}, epoch.Add(time.Hour), epoch)
	c.Check(limit.Begin(warm), qt.Equals, time.Duration(0))
}

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
