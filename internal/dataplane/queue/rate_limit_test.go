package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// TestRateLimitedRequestsStartInOrder checks that with free slots, requests start as the
// rate limit allows, the most urgent first. A request that may not wait that long is
// refused immediately, as rate limited.
func TestRateLimitedRequestsStartInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		now := time.Now()
		limit := ratelimit.NewLimit(now)
		limit.Set(ratelimit.Bounds{Rate: 1, Burst: 1}, now.Add(time.Hour), now)
		q := queue.NewRateLimited(8, limit)

		_, refusal, wait := q.Acquire(context.Background(), ticket(0, 500*time.Millisecond))
		c.Check(refusal, qt.Equals, queue.RateLimited)
		c.Check(wait.Round(time.Millisecond), qt.Equals, time.Second)

		order := make(chan int, 3)
		for _, priority := range []int{2, 0, 1} {
			go func() {
				slot, _, _ := q.Acquire(context.Background(), ticket(priority, time.Minute))
				order <- priority
				slot.Release(true)
			}()
			synctest.Wait()
		}
		for _, want := range []int{0, 1, 2} {
			c.Check(<-order, qt.Equals, want)
		}
		c.Check(time.Since(now).Round(time.Millisecond), qt.Equals, 3*time.Second)
	})
}

// TestWarmInstanceEndsTheWait checks that waiting requests start as soon as the instance
// is warm.
func TestWarmInstanceEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		now := time.Now()
		limit := ratelimit.NewLimit(now)
		limit.Set(ratelimit.Bounds{Rate: 0.1, Burst: 1}, now.Add(2*time.Second), now)
		q := queue.NewRateLimited(4, limit)
		begun := make(chan time.Duration, 4)
		for range 4 {
			go func() {
				slot, _, _ := q.Acquire(context.Background(), ticket(1, time.Minute))
				begun <- time.Since(now)
				slot.Release(true)
			}()
		}
		for range 4 {
			c.Check((<-begun).Round(time.Millisecond), qt.Equals, 2*time.Second)
		}
	})
}
