package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

func ticket(priority int, maxWait time.Duration) queue.Ticket {
	now := time.Now()
	return queue.Ticket{Priority: priority, Due: now.Add(maxWait), LatestStart: now.Add(time.Hour), MaxWait: maxWait}
}

// take acquires the only slot.
func take(c *qt.C, q *queue.Queue) *queue.Slot {
	slot, refusal, _ := q.Acquire(context.Background(), ticket(0, time.Hour))
	c.Assert(refusal, qt.Equals, queue.None)
	return slot
}

func TestMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		order := make(chan int, 3)
		for _, priority := range []int{2, 0, 1} {
			go func() {
				slot, _, _ := q.Acquire(context.Background(), ticket(priority, time.Hour))
				order <- priority
				slot.Release(true)
			}()
			synctest.Wait()
		}
		held.Release(true)
		for _, want := range []int{0, 1, 2} {
			c.Check(<-order, qt.Equals, want)
		}
	})
}

// TestEarlierDueFirst checks that of two requests of the same priority, the one with less
// time to wait, such as a call made for another request, gets the slot first.
func TestEarlierDueFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		order := make(chan time.Duration, 2)
		for _, left := range []time.Duration{4 * time.Second, 600 * time.Millisecond} {
			go func() {
				slot, _, _ := q.Acquire(context.Background(), ticket(1, left))
				order <- left
				slot.Release(true)
			}()
			synctest.Wait()
		}
		held.Release(true)
		c.Check(<-order, qt.Equals, 600*time.Millisecond)
		c.Check(<-order, qt.Equals, 4*time.Second)
	})
}

// TestValueBeforeDueTime checks that within one priority, a request whose answer can be in
// time precedes an earlier one that will be late, and that priority precedes value.
func TestValueBeforeDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		order := make(chan string, 4)
		enqueue := func(name string, priority int, value queue.Value) {
			wanted := ticket(priority, time.Hour)
			wanted.Value = value
			go func() {
				slot, _, _ := q.Acquire(context.Background(), wanted)
				order <- name
				slot.Release(true)
			}()
			synctest.Wait()
		}
		enqueue("late", 1, queue.ValueLate)
		enqueue("retried", 1, queue.ValueReduced)
		enqueue("less urgent", 2, queue.ValueFull)
		enqueue("new", 1, queue.ValueFull)
		held.Release(true)
		for _, want := range []string{"new", "retried", "late", "less urgent"} {
			c.Check(<-order, qt.Equals, want)
		}
	})
}

// TestShortBeforeLong checks that a short request precedes a long one that is due slightly
// earlier, but not one that is due much earlier.
func TestShortBeforeLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		order := make(chan string, 3)
		enqueue := func(name string, due, expected time.Duration) {
			wanted := ticket(1, time.Hour)
			wanted.Due, wanted.Expected, wanted.Length = time.Now().Add(due), expected, expected
			go func() {
				slot, _, _ := q.Acquire(context.Background(), wanted)
				order <- name
				slot.Release(true)
			}()
			synctest.Wait()
		}
		enqueue("long", 100*time.Millisecond, 200*time.Millisecond)
		enqueue("long, due much earlier", -time.Second, 200*time.Millisecond)
		enqueue("short", 150*time.Millisecond, 20*time.Millisecond)
		held.Release(true)
		for _, want := range []string{"long, due much earlier", "short", "long"} {
			c.Check(<-order, qt.Equals, want)
		}
	})
}

// TestMaxWaitIsKept checks that a request is refused as soon as its maximum wait is over,
// however long the slot stays taken.
func TestMaxWaitIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		defer held.Release(true)
		started := time.Now()
		_, refusal, _ := q.Acquire(context.Background(), ticket(1, 150*time.Millisecond))
		c.Check(refusal, qt.Equals, queue.Busy)
		c.Check(time.Since(started), qt.Equals, 150*time.Millisecond)
		c.Check(q.Usage(), qt.Equals, queue.Usage{Running: 1, Waiting: 0, Slots: 1})
	})
}

func TestExpiredRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		late := ticket(0, time.Hour)
		late.LatestStart = time.Now()
		_, refusal, _ := q.Acquire(context.Background(), late)
		c.Check(refusal, qt.Equals, queue.Expired)
	})
}

func TestCancelledRequestHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan queue.Refusal)
		go func() {
			_, refusal, _ := q.Acquire(ctx, ticket(0, time.Hour))
			done <- refusal
		}()
		synctest.Wait()
		cancel()
		c.Check(<-done, qt.Equals, queue.Cancelled)
		held.Release(true)
		c.Check(q.Usage(), qt.Equals, queue.Usage{Slots: 1})
	})
}

func TestLongQueueRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		go func() {
			slot, _, _ := q.Acquire(context.Background(), ticket(0, 120*time.Millisecond))
			slot.Release(true)
		}()
		synctest.Wait()
		started := time.Now()
		_, refusal, wait := q.Acquire(context.Background(), ticket(0, 150*time.Millisecond))
		c.Check(refusal, qt.Equals, queue.Busy)
		c.Check(time.Since(started), qt.Equals, time.Duration(0))
		c.Check(wait > 150*time.Millisecond, qt.IsTrue)
		held.Release(true)
		synctest.Wait()
	})
}

func TestMoreSlotsAdmitWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		granted := make(chan *queue.Slot)
		go func() {
			slot, _, _ := q.Acquire(context.Background(), ticket(0, time.Hour))
			granted <- slot
		}()
		synctest.Wait()
		q.SetSlots(2)
		(<-granted).Release(true)
		held.Release(true)
		held.Release(true) // a second release has no effect
		c.Check(q.Usage(), qt.Equals, queue.Usage{Slots: 2})
	})
}

// TestOnlyCandidateWaitsOn guards against an urgent request that no other instance can take
// being refused at its maximum wait, while less urgent requests get the next slot instead.
func TestOnlyCandidateWaitsOn(t *testing.T) {
	rows := map[string]struct {
		onlyCandidate bool
		others        []int // priorities of the requests that wait already
		latest, held  time.Duration
		want          queue.Refusal
	}{
		"only candidate":              {true, []int{2}, time.Hour, time.Second, queue.None},
		"other candidates left":       {false, []int{2}, time.Hour, time.Second, queue.Busy},
		"others are as urgent":        {true, []int{1}, time.Hour, time.Second, queue.Busy},
		"no others wait":              {true, nil, time.Hour, time.Second, queue.Busy},
		"not beyond the latest start": {true, []int{2}, 500 * time.Millisecond, time.Second, queue.Busy},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				q := queue.New(1)
				first := take(c, q)
				for _, priority := range row.others {
					go func() {
						if slot, _, _ := q.Acquire(context.Background(), ticket(priority, time.Hour)); slot != nil {
							slot.Release(true)
						}
					}()
					synctest.Wait()
				}
				time.AfterFunc(row.held, func() { first.Release(true) }) // on the fake clock of synctest
				urgent := ticket(1, 150*time.Millisecond)
				urgent.LatestStart, urgent.OnlyCandidate, urgent.Expected = time.Now().Add(row.latest), row.onlyCandidate, time.Millisecond
				slot, refusal, _ := q.Acquire(context.Background(), urgent)
				c.Check(refusal, qt.Equals, row.want)
				if slot != nil {
					slot.Release(true)
				}
				time.Sleep(2 * row.held)
				synctest.Wait()
			})
		})
	}
}
