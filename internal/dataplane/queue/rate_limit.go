package queue

import (
	"container/heap"
	"slices"
	"time"
)

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

// Begin implements RateLimiter.
func (unlimited) Begin(time.Time) time.Duration { return 0 }

// Delay implements RateLimiter.
func (unlimited) Delay(int, time.Time) time.Duration { return 0 }

// scheduleGrant grants slots to waiters after the delay, unless that is scheduled for an earlier time
// already. The caller must hold the mutex.
func (q *Queue) scheduleGrant(delay time.Duration, now time.Time) {
	at := now.Add(delay)
	if q.timerPending && !at.Before(q.grantAt) {
		return
	}
	q.timerPending, q.grantAt = true, at
	time.AfterFunc(delay, func() {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		q.timerPending = false
		q.grantWaiting(time.Now())
	})
}

// waitRefusal returns why a request that has waited for as long as it may got no slot.
func (q *Queue) waitRefusal(ticket Ticket) Refusal {
	now := time.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.hasSlotFor(ticket) && q.limiter.Delay(0, now) > 0 {
		return RateLimited
	}
	return Busy
}

// refuseRateLimited refuses the waiters that the rate limit would hold back for longer than they may
// wait. The caller must hold the mutex.
func (q *Queue) refuseRateLimited(now time.Time) {
	inOrder := slices.SortedFunc(slices.Values(q.waiting), func(a, b *waiter) int {
		if a.ticket.precedes(b.ticket) {
			return -1
		}
		return 1
	})
	ahead := 0
	for _, each := range inOrder {
		starts := now.Add(q.limiter.Delay(ahead, now))
		if starts.After(each.giveUpAt) && !each.ticket.OnlyCandidate || starts.After(each.ticket.LatestStart) {
			heap.Remove(&q.waiting, each.index)
			each.result <- grantResult{refusal: RateLimited}
			continue
		}
		ahead++
	}
}
