package queue

import (
	"context"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
)

// maxReservationBytes bounds the state of a reservation, which holds a fixed number of classes and nothing else.
const maxReservationBytes = 1024

// acquireAndRelease is one request that finds a free slot.
func acquireAndRelease(q *Queue, priority int) {
	now := time.Now()
	slot, _, _ := q.Acquire(context.Background(), Ticket{
		Priority: priority, Due: now.Add(time.Second), LatestStart: now.Add(time.Minute), MaxWait: time.Second, Expected: time.Millisecond,
	})
	slot.Release(true)
}

// TestReservationStateIsFixed guards against state that grows with the senders or with their priorities: a
// reservation has a fixed size, and a request allocates no more than without one.
func TestReservationStateIsFixed(t *testing.T) {
	const requests = 2000
	allocations := func(reserve bool) float64 {
		q, i := New(6), 0
		if reserve {
			q.ReserveByPriority()
		}
		return testing.AllocsPerRun(requests, func() {
			acquireAndRelease(q, i%100)
			i++
		})
	}
	c := qt.New(t)
	size, with, without := unsafe.Sizeof(reservation{}), allocations(true), allocations(false)
	t.Logf("%d bytes a queue; %.0f allocations a request, %.0f without reservation", size, with, without)
	c.Check(size <= maxReservationBytes, qt.IsTrue)
	c.Check(with <= without, qt.IsTrue)
}

// BenchmarkReservation measures a request that finds a free slot, with and without reservation.
func BenchmarkReservation(b *testing.B) {
	for name, reserve := range map[string]bool{"with": true, "without": false} {
		b.Run(name, func(b *testing.B) {
			q := New(6)
			if reserve {
				q.ReserveByPriority()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				acquireAndRelease(q, i%3)
			}
		})
	}
}
