package queue_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// TestStandingNamesWhatIsAhead guards against refusals that nobody can explain: the slots that a priority may
// take, who holds them and how many requests wait ahead are told.
func TestStandingNamesWhatIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const slots, reserved, low = 4, 2, 2
		q := queue.New(slots)
		q.ReserveFixed(reserved)
		urgent, _, _ := q.Acquire(context.Background(), ticket(0, time.Hour))
		time.Sleep(time.Second) // until the reserve is computed
		for range 3 {
			occupy(q, ticket(low, time.Hour), 10*time.Second)
		}
		asking := ticket(low, time.Hour)
		asking.Due = asking.Due.Add(time.Second) // after the one that waits
		standing := q.Standing(asking)
		c.Check(standing, qt.DeepEquals, queue.Standing{Usable: slots - reserved, Held: map[int]int{0: 1, low: 2}, Ahead: 1})
		standing = q.Standing(ticket(0, time.Hour))
		c.Check(standing.Usable, qt.Equals, slots)
		c.Check(standing.Ahead, qt.Equals, 0)
		urgent.Release(true)
		time.Sleep(time.Minute)
	})
}

// TestStandingForecastsLateRequests checks that the forecast of a late request is told, and that it is missing
// while requests that go ahead leave no slots.
func TestStandingForecastsLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := warmed()
		occupy(q, forecastTicket(time.Second, time.Hour), work)
		standing := q.Standing(forecastTicket(work, time.Hour))
		c.Assert(standing.Forecast, qt.IsNotNil)
		c.Check(*standing.Forecast > 0, qt.IsTrue)
		q.SetOvertaking(allSlots{})
		c.Check(q.Standing(forecastTicket(work, time.Hour)).Forecast, qt.IsNil)
		time.Sleep(time.Minute)
	})
}
