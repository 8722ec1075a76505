// Package coldstart tracks when an instance is cold after its start, and limits the rate
// of requests to it meanwhile: a cold instance that is overloaded crashes, starts again
// and is cold again.
package coldstart

import (
	"sync"
	"time"
)

// Bounds limit the requests to a cold instance.
type Bounds struct {
	// Rate is the sustained rate, in requests a second; zero: not limited.
	Rate float64
	// Burst is how many requests may begin at once. No second has more than Burst + Rate.
	Burst float64
}

// Limit is a token bucket that counts all requests of an instance and holds them back
// while the instance is cold. A new Limit starts empty: what an earlier process sent in
// the second before is not known, so that a restart never doubles the burst. It is safe
// for concurrent use.
type Limit struct {
	mutex     sync.Mutex
	bounds    Bounds
	until     time.Time
	tokens    float64
	countedAt time.Time
}

// NewLimit returns an empty Limit that holds nothing back.
func NewLimit(now time.Time) *Limit { return &Limit{countedAt: now} }

// Set changes the bounds, and until when the instance is cold.
func (l *Limit) Set(bounds Bounds, until, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	l.bounds, l.until = bounds, until
	l.tokens = min(l.tokens, l.bounds.Burst)
}

// ColdFor is how much longer the instance is cold.
func (l *Limit) ColdFor(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.until.Sub(now), 0)
}

// Begin counts a request that begins now. When it may not, nothing is counted, and the
// result is the time until the next one may.
func (l *Limit) Begin(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	if !l.holdsBack(now) {
		l.tokens = max(l.tokens-1, 0)
		return 0
	}
	if l.tokens >= 1 {
		l.tokens--
		return 0
	}
	return l.delay(0, now)
}

// Delay is the time until a request may begin that has so many before it.
func (l *Limit) Delay(before int, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refill(now)
	if !l.holdsBack(now) {
		return 0
	}
	return l.delay(before, now)
}

// holdsBack reports whether requests are bounded. The mutex is held.
func (l *Limit) holdsBack(now time.Time) bool { return l.bounds.Rate > 0 && l.until.After(now) }

// delay is Delay while requests are bounded. The mutex is held.
func (l *Limit) delay(before int, now time.Time) time.Duration {
	missing := float64(before+1) - l.tokens
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the token is there when the time is over.
	wait := time.Duration(missing/l.bounds.Rate*float64(time.Second)) + time.Microsecond
	return min(wait, l.until.Sub(now))
}

// refill adds the tokens of the time since they were last counted. The mutex is held.
func (l *Limit) refill(now time.Time) {
	passed := now.Sub(l.countedAt)
	if passed <= 0 {
		return
	}
	l.tokens = min(l.tokens+passed.Seconds()*l.bounds.Rate, l.bounds.Burst)
	l.countedAt = now
}
