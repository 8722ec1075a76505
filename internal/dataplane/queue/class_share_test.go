package queue_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/classshare"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// askEvery asks for slots at equal intervals until the end, holds each for the time of the work, and returns how often
// it got one.
func askEvery(q *queue.Queue, priority int, interval, span time.Duration, forecast bool) (granted, asked int64) {
	var got atomic.Int64
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
		wanted := forecastTicket(work, 2*time.Second)
		wanted.Priority, wanted.Forecast = priority, forecast
		asked++
		go func() {
			if slot, _, _ := q.Acquire(context.Background(), wanted); slot != nil {
				got.Add(1)
				time.Sleep(work)
				slot.Release(true)
			}
		}()
	}
	time.Sleep(time.Minute) // until the last requests have ended
	return got.Load(), asked
}

// TestClassIsNotStarved guards against a class that gets next to nothing while requests of higher priority ask for more
// than all slots: it gets half of its proportional share of them, and no greater part of what it asks for than the
// more urgent class.
func TestClassIsNotStarved(t *testing.T) {
	for name, forecast := range map[string]bool{"with a forecast": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const slots, span = 6, 20 * time.Second
				q := queue.New(slots)
				q.ReserveByPriority()
				q.GuaranteeShares(classshare.New())
				var urgent, urgentAsked, behind, behindAsked int64
				go func() { urgent, urgentAsked = askEvery(q, 0, work/12, span, forecast) }() // twice all slots
				go func() { behind, behindAsked = askEvery(q, 1, work/3, span, forecast) }()  // half of them
				time.Sleep(span + 2*time.Minute)
				synctest.Wait()
				served, urgentServed := float64(behind)/float64(behindAsked), float64(urgent)/float64(urgentAsked)
				capacity := slots * span.Seconds() / work.Seconds()
				proportional := capacity / float64(urgentAsked+behindAsked)
				t.Logf("behind %.3f, urgent %.3f, in proportion %.3f", served, urgentServed, proportional)
				qt.Check(t, served >= 0.9*proportional/2, qt.IsTrue)
				qt.Check(t, served <= urgentServed, qt.IsTrue)
				qt.Check(t, float64(urgent+behind) >= 0.95*capacity, qt.IsTrue)
			})
		})
	}
}

// TestLateRequestWaitsBehindOthersInTime guards against a slot that goes to an urgent request which can only be late
// while a less urgent one can still be in time.
func TestLateRequestWaitsBehindOthersInTime(t *testing.T) {
	for name, row := range map[string]struct {
		tenant   string
		lateLast bool
		want     string
	}{
		"late last":               {lateLast: true, want: "in time"},
		"as before":               {want: "late"},
		"the request of a tenant": {tenant: "a", lateLast: true, want: "late"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := warmed(func(q *queue.Queue) {
					if row.lateLast {
						q.PutLateLast()
					}
				})
				occupy(q, forecastTicket(time.Second, time.Hour), work)
				late := forecastTicket(-work, time.Minute)
				late.Tenant = row.tenant
				inTime := forecastTicket(time.Second, time.Minute)
				inTime.Priority = 1
				order := make(chan string, 2)
				for name, ticket := range map[string]queue.Ticket{"late": late, "in time": inTime} {
					ended := occupy(q, ticket, work)
					go func() {
						<-ended
						order <- name
					}()
				}
				qt.Check(t, <-order, qt.Equals, row.want)
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestReserveLeavesGuaranteedSlots guards against a reserve for urgent requests that takes the slots which the class
// behind them is guaranteed.
func TestReserveLeavesGuaranteedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := queue.New(6)
		q.ReserveFixed(6)
		q.GuaranteeShares(classshare.New())
		for range 40 {
			for priority, count := range []int{1, 3} {
				for range count {
					wanted := forecastTicket(time.Second, time.Minute)
					wanted.Priority = priority
					occupy(q, wanted, work)
				}
			}
			time.Sleep(work)
		}
		_, limit := q.HeldFrom(1)
		c.Check(limit, qt.Equals, 3) // half of three quarters of six slots, rounded up
		time.Sleep(time.Minute)
	})
}
