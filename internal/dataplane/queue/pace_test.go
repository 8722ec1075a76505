package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// TestPacedRequestsWaitTheirTurn: with slots free, requests begin as the pace allows, the
// most urgent first; one that may not wait that long is refused at once, as paced.
func TestPacedRequestsWaitTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		now := time.Now()
		limit := coldstart.NewLimit(now)
		limit.Set(coldstart.Bounds{Rate: 1, Burst: 1}, now.Add(time.Hour), now)
		q := queue.NewPaced(8, limit)

		_, refusal, wait := q.Acquire(context.Background(), ticket(0, 500*time.Millisecond))
		c.Check(refusal, qt.Equals, queue.Paced)
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

// TestWarmthEndsTheWait: those who wait begin as soon as the instance is warm.
func TestWarmthEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		now := time.Now()
		limit := coldstart.NewLimit(now)
		limit.Set(coldstart.Bounds{Rate: 0.1, Burst: 1}, now.Add(2*time.Second), now)
		q := queue.NewPaced(4, limit)
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
