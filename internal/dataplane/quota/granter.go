package quota

import (
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// BackupShare is the share of a quota that the second node in rank grants while the owner does
	// not answer.
	BackupShare = 0.15
	// IsolatedShare is the share of its equal part of the quota that a node uses which reaches
	// neither.
	IsolatedShare = 0.5

	// minPause and maxPause bound how long a node does not ask again after it got no token.
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers beyond the quota are told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// forgetAfter is how long the full bucket of an idle tenant is kept.
	forgetAfter = time.Minute
)

// Grant is the answer to a request for tokens.
type Grant struct {
	Tokens int
	// Pause is how long the node should not ask again, RetryAfter when its callers should come
	// back. Both are zero if all wanted tokens were granted.
	Pause, RetryAfter time.Duration
}

// granter holds the buckets of tenants. It is safe for concurrent use.
type granter struct {
	mutex    sync.Mutex
	tenants  map[string]*account
	prunedAt time.Time
}

// account is the bucket of one tenant and the requests that it had no token for.
type account struct {
	bucket *bucket
	// refused are the refused requests that may still come back; they drain at the rate.
	refused   float64
	updatedAt time.Time
}

func newGranter() *granter { return &granter{tenants: make(map[string]*account)} }

// grant takes up to the wanted number of tokens from a share of the tenant's quota. since is the
// time from which on this node certainly is the only one that grants that share.
func (g *granter) grant(tenant *snapshot.Tenant, share float64, wanted int, since, now time.Time) Grant {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prune(now)
	rate, burst := share*tenant.RequestsPerSecond, share*tenant.Burst
	found := g.tenants[tenant.Name]
	if found == nil {
		found = &account{bucket: newBucket(rate, burst, since, now), updatedAt: now}
		g.tenants[tenant.Name] = found
	} else if found.bucket.rate != rate || found.bucket.burst != max(burst, 1) {
		found.bucket.setLimits(rate, burst, now)
	}
	granted := Grant{Tokens: found.bucket.take(wanted, now)}
	found.drainRefused(now)
	if missing := wanted - granted.Tokens; missing > 0 {
		found.refused += float64(missing)
		granted.Pause = min(max(found.bucket.untilNext(), minPause), maxPause)
		granted.RetryAfter = min(max(durationOf(found.refused, rate), minRetryAfter), maxRetryAfter)
	}
	return granted
}

// drainRefused forgets refused requests at the rate at which they can be served when they return.
func (a *account) drainRefused(now time.Time) {
	a.refused = max(a.refused-a.bucket.rate*now.Sub(a.updatedAt).Seconds(), 0)
	a.updatedAt = now
}

// prune forgets idle tenants. The caller must hold the mutex.
func (g *granter) prune(now time.Time) {
	if now.Sub(g.prunedAt) < forgetAfter {
		return
	}
	g.prunedAt = now
	for name, found := range g.tenants {
		if now.Sub(found.updatedAt) > forgetAfter && found.bucket.isFull(now) {
			delete(g.tenants, name)
		}
	}
}
