package ratelimit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
)

var epoch = time.Unix(1000, 0)

// TestNoSecondExceedsTheBounds checks that with any bursts, node restarts and changes of the
// instance's entry, no second has more requests to an instance than the bounds allow.
func TestNoSecondExceedsTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := ratelimit.Bounds{
			Rate:  rapid.Float64Range(0.5, 30).Draw(t, "rate"),
			Burst: rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		now, until := epoch, epoch
		limit := ratelimit.NewLimit(now)
		limit.Set(bounds, until, now)
		var begun []time.Time // while limited
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "interval")))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0: // the node restarts
				limit = ratelimit.NewLimit(now)
				limit.Set(bounds, until, now)
			case 1: // the entry changes
				until = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "limited ms")) * time.Millisecond)
				limit.Set(bounds, until, now)
			default:
				for range rapid.IntRange(1, 12).Draw(t, "requests") {
					if limit.Begin(now) == 0 && until.After(now) {
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
	limit := ratelimit.NewLimit(epoch)
	limit.Set(ratelimit.Bounds{Rate: 4, Burst: 1}, epoch.Add(time.Minute), epoch)
	delay := limit.Begin(epoch)
	c.Assert(delay > 0, qt.IsTrue)
	c.Check(limit.Begin(epoch.Add(delay)), qt.Equals, time.Duration(0))
	c.Check(limit.Delay(2, epoch.Add(delay)) > limit.Delay(0, epoch.Add(delay)), qt.IsTrue)
}

// TestDebtDelaysTheNextRequest checks that requests which started beyond the bounds delay the next ones, but by
// no more than maxDebtTime.
func TestDebtDelaysTheNextRequest(t *testing.T) {
	c := qt.New(t)
	limit := ratelimit.NewLimit(epoch)
	limit.Set(ratelimit.Bounds{Rate: 2, Burst: 10}, ratelimit.Forever, epoch)
	now := epoch.Add(time.Minute)
	c.Check(limit.Delay(9, now), qt.Equals, time.Duration(0))
	limit.Owe(3, now)
	c.Check(limit.Begin(now).Round(time.Millisecond), qt.Equals, 2*time.Second)
	limit.Owe(1000, now)
	c.Check(limit.Begin(now).Round(time.Millisecond), qt.Equals, 4500*time.Millisecond)
}

// TestLimitEnds checks that the limit ends at its time, and that there is none without a rate.
func TestLimitEnds(t *testing.T) {
	c := qt.New(t)
	limit := ratelimit.NewLimit(epoch)
	limit.Set(ratelimit.Bounds{Rate: 1, Burst: 1}, epoch.Add(100*time.Millisecond), epoch)
	c.Check(limit.Begin(epoch), qt.Equals, 100*time.Millisecond)
	ended := epoch.Add(100 * time.Millisecond)
	for range 50 {
		c.Check(limit.Begin(ended), qt.Equals, time.Duration(0))
	}
	limit.Set(ratelimit.Bounds{Burst: 1}, epoch.Add(time.Hour), epoch)
	c.Check(limit.Begin(ended), qt.Equals, time.Duration(0))
}
