// Package quota keeps the requests of each tenant below its quota, summed over all nodes, without
// shared storage. The quota of a tenant is a token bucket at one node, its owner; a request needs a
// token, which its node asks the owner for. All nodes find the owner by rendezvous hashing over the
// listed instances. If it does not answer, a second node grants a small share, and a node that
// reaches neither uses a part of its equal share.
//
// The shares add up to at most 1 + BackupShare + IsolatedShare of the quota, whichever nodes are
// cut off, stop or start. A bucket of a new owner is empty, so that the former one may have granted
// all of its own.
package quota

import (
	"math"
	"time"
)

// bucket is a token bucket.
type bucket struct {
	rate, burst float64 // tokens per second, and at most
	level       float64
	updatedAt   time.Time
}

// newBucket returns a bucket that has been filling since a time.
func newBucket(rate, burst float64, since, now time.Time) *bucket {
	created := &bucket{rate: rate, burst: max(burst, 1), updatedAt: since}
	created.advance(now)
	return created
}

func (b *bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.level = min(b.level+b.rate*elapsed.Seconds(), b.burst)
		b.updatedAt = now
	}
}

// setLimits changes the rate and the burst from now on.
func (b *bucket) setLimits(rate, burst float64, now time.Time) {
	b.advance(now)
	b.rate, b.burst = rate, max(burst, 1)
	b.level = min(b.level, b.burst)
}

// take removes up to the wanted number of tokens and returns how many.
func (b *bucket) take(wanted int, now time.Time) int {
	b.advance(now)
	taken := min(wanted, int(b.level))
	b.level -= float64(taken)
	return taken
}

// untilNext returns the time until the bucket has a token.
func (b *bucket) untilNext() time.Duration { return durationOf(1-b.level, b.rate) }

// isFull reports whether the bucket has nothing to remember.
func (b *bucket) isFull(now time.Time) bool {
	b.advance(now)
	return b.level >= b.burst
}

// durationOf returns the time in which a number of tokens flows in.
func durationOf(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := tokens / max(rate, math.SmallestNonzeroFloat32)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
