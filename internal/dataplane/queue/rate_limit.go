package queue

import "time"

// RateLimiter limits the rate at which requests start, in addition to the slots.
type RateLimiter interface {
	// Begin counts a request that starts now and returns zero, or returns the time until
	// one may start.
	Begin(now time.Time) time.Duration
	// Delay returns the time until a request may start that is preceded by the given number
	// of others.
	Delay(before int, now time.Time) time.Duration
}

// unlimited lets every request start immediately.
type unlimited struct{}

// Begin implements Pace.
func (unlimited) Begin(time.Time) time.Duration { return 0 }

// Delay implements Pace.
func (unlimited) Delay(int, time.Time) time.Duration { return 0 }

// scheduleGrant grants slots to waiters after the delay. The caller must hold the mutex.
func (q *Queue) scheduleGrant(delay time.Duration) {
	if q.timerPending {
		return
	}
	q.timerPending = true
	time.AfterFunc(delay, func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.timerPending = false
		q.grantWaiting(time.Now())
	})
}
