// Package ratelimit limits the rate at which requests to one instance start.
package ratelimit

import (
	"sync"
	"time"
)

// Bounds limit the requests to an instance.
type Bounds struct {
	// Rate is the sustained rate in requests per second; zero means no limit.
	Rate float64
	// Burst is the number of requests that may start at once. No second has more than
	// Burst + Rate.
	Burst float64
}

// Limit is a token bucket that counts all requests to an instance and limits their rate until a
// given time. A new Limit starts empty, because it is not known what an
// earlier process sent in the second before: a restart never doubles the burst. Limit is
// safe for concurrent use.
type Limit struct {
	mutex      sync.Mutex
	bounds     Bounds
	until      time.Time
	tokens     float64
	refilledAt time.Time
}

// NewLimit returns an empty Limit without bounds.
func NewLimit(now time.Time) *Limit { return &Limit{refilledAt: now} }

// Forever is an end that no limit reaches.
var Forever = time.Unix(1<<40, 0)

// Set changes the bounds and the time until which they are in force.
func (l *Limit) Set(bounds Bounds, until, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	l.bounds, l.until = bounds, until
	l.tokens = min(l.tokens, l.bounds.Burst)
}

// maxDebtTime limits a debt to what the rate allows in that time.
const maxDebtTime = 4 * time.Second

// Owe takes away the saved tokens, and a number of requests that have started beyond the bounds from those
// that may start next.
func (l *Limit) Owe(requests float64, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	l.tokens = max(min(l.tokens, 0)-max(requests, 0), -l.bounds.Rate*maxDebtTime.Seconds())
}

// InForceFor returns the remaining time for which the bounds are in force.
func (l *Limit) InForceFor(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.until.Sub(now), 0)
}

// Begin counts a request that starts now and returns zero. If the request may not start, it
// counts nothing and returns the time until the next one may.
func (l *Limit) Begin(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	if !l.isLimiting(now) {
		l.tokens = max(l.tokens-1, 0)
		return 0
	}
	if l.tokens >= 1 {
		l.tokens--
		return 0
	}
	return l.delay(0, now)
}

// Delay returns the time until a request may start that is preceded by the given number of
// others.
func (l *Limit) Delay(before int, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	if !l.isLimiting(now) {
		return 0
	}
	return l.delay(before, now)
}

// isLimiting reports whether the limit is in force. The caller must hold the mutex.
func (l *Limit) isLimiting(now time.Time) bool { return l.bounds.Rate > 0 && l.until.After(now) }

// delay implements Delay while the limit is in force. The caller must hold the mutex.
func (l *Limit) delay(before int, now time.Time) time.Duration {
	missing := float64(before+1) - l.tokens
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the token is available once the time has passed.
	wait := time.Duration(missing/l.bounds.Rate*float64(time.Second)) + time.Microsecond
	return min(wait, l.until.Sub(now))
}

// refill adds the tokens for the time since the last refill. The caller must hold the mutex.
func (l *Limit) refill(now time.Time) {
	elapsed := now.Sub(l.refilledAt)
	if elapsed <= 0 {
		return
	}
	l.tokens = min(l.tokens+elapsed.Seconds()*l.bounds.Rate, l.bounds.Burst)
	l.refilledAt = now
}
