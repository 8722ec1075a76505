package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
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

// changingLimit is a rate limit whose rate changes.
type changingLimit struct{ *ratelimit.Limit }

func (l changingLimit) set(perSecond float64) {
	now := time.Now()
	l.Set(ratelimit.Bounds{Rate: perSecond, Burst: 1}, ratelimit.Forever, now)
}

// TestLoweredLimitRefusesWaitersAtOnce checks that requests which wait for a rate limit are refused, as
// rate limited, as soon as the limit falls so far that they cannot start in time. If they waited on until
// then, their callers would learn of it much later, and as of an overload.
func TestLoweredLimitRefusesWaitersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limit := changingLimit{ratelimit.NewLimit(time.Now())}
		limit.set(10)
		q := queue.NewRateLimited(100, limit)
		const waiting = 40
		refusals := make(chan queue.Refusal, waiting)
		for range waiting {
			go func() {
				_, refusal, _ := q.Acquire(context.Background(), ticket(1, 5500*time.Millisecond))
				refusals <- refusal
			}()
		}
		synctest.Wait()
		began := time.Now()
		limit.set(1)
		q.LimitChanged()
		synctest.Wait()
		c.Check(len(refusals), qt.Equals, waiting-5)
		for range waiting - 5 {
			c.Check(<-refusals, qt.Equals, queue.RateLimited)
		}
		for range 5 {
			c.Check(<-refusals, qt.Equals, queue.None)
		}
		c.Check(time.Since(began).Round(time.Millisecond), qt.Equals, 5*time.Second)
	})
}

// TestRaisedLimitStartsWaiters checks that requests which wait for a low limit start as soon as it rises.
func TestRaisedLimitStartsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		limit := changingLimit{ratelimit.NewLimit(time.Now())}
		limit.set(0.1)
		q := queue.NewRateLimited(4, limit)
		started := make(chan struct{}, 2)
		for range 2 {
			go func() {
				_, refusal, _ := q.Acquire(context.Background(), ticket(1, time.Minute))
				c.Check(refusal, qt.Equals, queue.None)
				started <- struct{}{}
			}()
		}
		synctest.Wait()
		began := time.Now()
		limit.set(100)
		q.LimitChanged()
		<-started
		<-started
		c.Check(time.Since(began) < 50*time.Millisecond, qt.IsTrue) // virtual time
	})
}
