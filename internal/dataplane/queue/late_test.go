package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/admission"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

const (
	work = 100 * time.Millisecond
	// arrivalEvery makes requests that can be in time take half of the slots.
	arrivalEvery = 2 * work
)

// forecastTicket is a ticket of a request that can be in time for may and is served up to latest.
func forecastTicket(may, latest time.Duration) queue.Ticket {
	now := time.Now()
	return queue.Ticket{Due: now.Add(may), LatestStart: now.Add(latest), MaxWait: may, Expected: work, Forecast: true}
}

// occupy asks for a slot and holds it for the time of the work. It sends the refusal, and when it came.
func occupy(q *queue.Queue, ticket queue.Ticket, duration time.Duration) <-chan queue.Refusal {
	ended := make(chan queue.Refusal, 1)
	go func() {
		slot, refusal, _ := q.Acquire(context.Background(), ticket)
		ended <- refusal
		if slot != nil {
			time.Sleep(duration)
			slot.Release(true)
		}
	}()
	synctest.Wait()
	return ended
}

// warmed returns a queue of one slot that has served requests at half of its rate.
func warmed(configure ...func(*queue.Queue)) *queue.Queue {
	q := queue.New(1)
	for _, each := range configure {
		each(q)
	}
	for range 10 {
		occupy(q, forecastTicket(time.Second, time.Hour), work)
		time.Sleep(arrivalEvery)
	}
	return q
}

// TestLateRequestIsServed guards against a request that is rejected at its due time although the slots have
// time for it: it starts later, behind those that can be in time.
func TestLateRequestIsServed(t *testing.T) {
	for name, row := range map[string]struct {
		forecast bool
		want     queue.Refusal
	}{
		"with a forecast": {true, queue.None},
		"as before":       {false, queue.Busy},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				q := warmed()
				occupy(q, forecastTicket(time.Second, time.Hour), work)
				ticket := forecastTicket(work/4, 3*time.Second)
				ticket.Forecast = row.forecast
				late := occupy(q, ticket, work)
				inTime := occupy(q, forecastTicket(time.Second, time.Hour), work)
				time.Sleep(work * 3 / 2)
				synctest.Wait()
				if row.forecast {
					c.Check(late, qt.HasLen, 0)
					c.Check(q.Usage(), qt.Equals, queue.Usage{Running: 1, Slots: 1, Late: 1})
				}
				c.Check(<-inTime, qt.Equals, queue.None)
				c.Check(<-late, qt.Equals, row.want)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestLateRequestTakesFreeSlot guards against a late request that is rejected although a slot is free that no
// other request can take: because another instance may serve it, or because it must start at once.
func TestLateRequestTakesFreeSlot(t *testing.T) {
	for name, row := range map[string]struct {
		elsewhere, reserve bool
		latest             time.Duration
	}{
		"another instance may serve it":  {elsewhere: true, latest: time.Minute},
		"it must start at once":          {latest: work / 2},
		"slots are reserved from others": {reserve: true, latest: work / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := warmed(func(q *queue.Queue) {
					if row.reserve {
						q.ReserveFixed(1)
					}
				})
				if row.reserve {
					q.SetSlots(2)
					occupy(q, forecastTicket(time.Second, time.Hour), work)
					time.Sleep(work) // the reserve applies while requests of priority 0 arrive
					for range 2 {
						lower := ticket(7, time.Minute)
						lower.Priority = 1
						occupy(q, lower, work)
					}
				}
				late := forecastTicket(-work, row.latest)
				late.Elsewhere = row.elsewhere
				began := time.Now()
				qt.Check(t, <-occupy(q, late, work), qt.Equals, queue.None)
				qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestLateRequestIsWithdrawn guards against a request that is held until its deadline in vain: when requests
// that go ahead of it begin to take all slots, it is rejected long before.
func TestLateRequestIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := warmed()
		started := time.Now()
		const latest = 20 * time.Second
		occupy(q, forecastTicket(time.Second, time.Hour), work)
		late := occupy(q, forecastTicket(work/4, latest), work)
		q.SetOvertaking(allSlots{})
		c.Check(<-late, qt.Equals, queue.Withdrawn)
		c.Check(time.Since(started) <= work, qt.IsTrue, qt.Commentf("%v", time.Since(started)))
		counts := q.LateCounts()
		c.Check(counts, qt.Equals, queue.LateCounts{Waited: 1, Withdrawn: 1})
		time.Sleep(time.Minute)
	})
}

// TestWithdrawnRequestIsOverdue guards against a reserve that does not grow although requests of higher priority
// get no slots, because they are rejected while they wait.
func TestWithdrawnRequestIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := warmed((*queue.Queue).ReserveByPriority)
		occupy(q, forecastTicket(time.Second, time.Hour), work)
		late := occupy(q, forecastTicket(work/4, time.Minute), work)
		c.Check(q.Overdue(1), qt.Equals, 0.0)
		q.SetOvertaking(allSlots{})
		c.Check(<-late, qt.Equals, queue.Withdrawn)
		c.Check(q.Overdue(1), qt.Equals, 1.0)
		time.Sleep(time.Minute)
	})
}

// TestWaitingRequestIsDemoted: a request that had expected to be in time moves behind the others when its due
// time is over, and is served after them.
func TestWaitingRequestIsDemoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := warmed()
		occupy(q, forecastTicket(time.Second, time.Hour), 5*work) // five times as long as expected
		demoted := occupy(q, forecastTicket(3*work/2, time.Minute), work)
		inTime := occupy(q, forecastTicket(time.Minute, time.Hour), work)
		time.Sleep(5*work + work/2)
		synctest.Wait()
		c.Check(inTime, qt.HasLen, 1)
		c.Check(demoted, qt.HasLen, 0)
		time.Sleep(time.Minute)
		synctest.Wait()
		c.Check(<-demoted, qt.Equals, queue.None)
		c.Check(q.LateCounts(), qt.Equals, queue.LateCounts{Demoted: 1, Started: 1})
	})
}

// TestForecastNeedsMeasurements: before any request has ended, requests wait for MaxWait as without a forecast.
func TestForecastNeedsMeasurements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		started := time.Now()
		_, refusal, _ := q.Acquire(context.Background(), forecastTicket(150*time.Millisecond, time.Hour))
		c.Check(refusal, qt.Equals, queue.Busy)
		c.Check(time.Since(started), qt.Equals, 150*time.Millisecond)
		held.Release(true)
	})
}

// TestRetriedGoesFirst: of two requests that are due at the same time, that of a caller that was rejected before
// gets the slot.
func TestRetriedGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(1)
		held := take(c, q)
		wanted := ticket(1, time.Hour)
		first := occupy(q, wanted, work)
		wanted.Retried = true
		retried := occupy(q, wanted, work)
		held.Release(true)
		c.Check(<-retried, qt.Equals, queue.None)
		c.Check(first, qt.HasLen, 0)
		time.Sleep(time.Minute)
	})
}

// allSlots says that requests which go ahead of late ones take all slots.
type allSlots struct{}

func (allSlots) Overtaking(admission.Class, time.Time) float64 { return 1 }
