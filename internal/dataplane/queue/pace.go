package queue

import "time"

// Pace bounds how fast requests begin, besides the slots.
type Pace interface {
	// Begin counts a request that begins now, or tells how long until one may.
	Begin(now time.Time) time.Duration
	// Delay is how long until a request may begin that has so many before it.
	Delay(before int, now time.Time) time.Duration
}

// unpaced begins with each request at once.
type unpaced struct{}

// Begin implements Pace.
func (unpaced) Begin(time.Time) time.Duration { return 0 }

// Delay implements Pace.
func (unpaced) Delay(int, time.Time) time.Duration { return 0 }

// promoteAfter gives slots to waiters once the pace allows it. The mutex is held.
func (q *Queue) promoteAfter(delay time.Duration) {
	if q.wakes {
		return
	}
	q.wakes = true
	time.AfterFunc(delay, func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.wakes = false
		q.promote(time.Now())
	})
}
