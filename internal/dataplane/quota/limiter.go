package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// requestTimeout limits the wait for one node's answer. It is many round trips, and short beside the
	// time that callers wait.
	requestTimeout = 150 * time.Millisecond
	// avoidFor is how long a node that did not answer is not asked again.
	avoidFor = 500 * time.Millisecond
	// tokenLifetime is how long tokens may be kept. What is kept longer could add to the tokens of
	// a later window.
	tokenLifetime = 500 * time.Millisecond
	// prefetch is for how long tokens are asked for in advance, at the present rate.
	prefetch = 100 * time.Millisecond
	// maxRounds is how often a request waits for tokens that others then take.
	maxRounds = 3
)

// Transport sends a message to a node and returns its answer.
type Transport func(ctx context.Context, node string, message []byte) ([]byte, error)

// Options set up a Limiter.
type Options struct {
	// Node is the IP address of this node.
	Node string
	// Logger logs the nodes that grant no tokens; nil: they are not logged.
	Logger logrus.FieldLogger
	// Now returns the time; nil uses the system clock.
	Now func() time.Time
}

// Limiter admits the requests that start at a node and grants tokens to other nodes. It is safe for
// concurrent use.
type Limiter struct {
	options   Options
	transport Transport
	owners    *owners
	// granter holds the buckets that this node grants from, isolated those of its own equal shares.
	granter, isolated *granter

	mutex  sync.Mutex
	caches map[string]*tokenCache
	// prunedAt is when idle caches were last forgotten.
	prunedAt time.Time
	// avoided holds until when nodes that did not answer are not asked.
	avoided map[string]time.Time
}

// New returns a Limiter. Its transport has to be set before the first call of Admit.
func New(options Options) *Limiter {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = logging.Discard()
	}
	return &Limiter{
		options: options, owners: newOwners(options.Now()), granter: newGranter(), isolated: newGranter(),
		caches: make(map[string]*tokenCache), avoided: make(map[string]time.Time),
	}
}

// SetTransport sets how other nodes are asked.
func (l *Limiter) SetTransport(transport Transport) { l.transport = transport }

// Observe notes the nodes of a configuration. The more often it is called, the better an owner knows
// how long it has been one, and thereby how full its buckets are.
func (l *Limiter) Observe(current *snapshot.Snapshot) { l.owners.observe(current, l.options.Now()) }

// Source is where the token of a request came from.
type Source string

// The sources.
const (
	FromCache    Source = "cache"
	FromOwner    Source = "owner"
	FromBackup   Source = "backup"
	FromIsolated Source = "isolated"
)

// Decision is whether a request is within the quota of its tenant.
type Decision struct {
	Admitted bool
	// RetryAfter is when a caller beyond the quota should come back.
	RetryAfter time.Duration
	// Source tells which node decided.
	Source Source
}

// Admit takes a token for a request of a tenant, or returns when to come back.
func (l *Limiter) Admit(ctx context.Context, current *snapshot.Snapshot, tenant *snapshot.Tenant) Decision {
	if tenant.RequestsPerSecond <= 0 {
		return Decision{Admitted: true, Source: FromCache}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.cacheOf(tenant.Name)
	held.countArrival(l.options.Now())
	source := FromCache
	for range maxRounds {
		now := l.options.Now()
		if held.take(now) {
			return held.decided(Decision{Admitted: true, Source: source}, now)
		}
		if now.Before(held.pausedUntil) {
			source = held.pausedBy
			break
		}
		if held.asking == nil {
			source = l.refill(ctx, current, tenant, held)
		} else if !l.awaitRefill(ctx, held) {
			break
		}
	}
	return held.decided(Decision{RetryAfter: max(held.retryAfter, minRetryAfter), Source: source}, l.options.Now())
}

// Return gives back the token of a request that reached no instance.
func (l *Limiter) Return(tenant *snapshot.Tenant) {
	if tenant.RequestsPerSecond <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.cacheOf(tenant.Name)
	now := l.options.Now()
	if now.After(held.expiresAt) {
		held.tokens, held.expiresAt = 0, now.Add(tokenLifetime)
	}
	held.tokens++
}

// cacheOf returns the cache of a tenant. The caller must hold the mutex.
func (l *Limiter) cacheOf(tenant string) *tokenCache {
	found := l.caches[tenant]
	if found == nil {
		l.pruneCaches()
		found = &tokenCache{countedSince: l.options.Now()}
		l.caches[tenant] = found
	}
	return found
}

// idleCache is how long an unused cache is kept at least.
const idleCache = 10 * time.Second

// pruneCaches forgets the caches of idle tenants, once in idleCache. The caller must hold the mutex.
func (l *Limiter) pruneCaches() {
	now := l.options.Now()
	if now.Sub(l.prunedAt) < idleCache {
		return
	}
	l.prunedAt = now
	for tenant, held := range l.caches {
		if held.asking == nil && now.Sub(held.usedAt) > idleCache {
			delete(l.caches, tenant)
		}
	}
}

// awaitRefill waits until the running request for tokens ends; it returns false if the context ends
// first. The caller must hold the mutex, which is released meanwhile.
func (l *Limiter) awaitRefill(ctx context.Context, held *tokenCache) bool {
	asking := held.asking
	held.waiting++
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		held.waiting--
	}()
	select {
	case <-asking:
		return true
	case <-ctx.Done():
		return false
	}
}

// refill asks for tokens. The caller must hold the mutex, which is released meanwhile.
func (l *Limiter) refill(ctx context.Context, current *snapshot.Snapshot, tenant *snapshot.Tenant, held *tokenCache) Source {
	held.asking = make(chan struct{})
	wanted := held.wanted()
	l.mutex.Unlock()
	granted, source := l.requestTokens(ctx, current, tenant, wanted)
	l.mutex.Lock()
	now := l.options.Now()
	if now.After(held.expiresAt) {
		held.tokens = 0
	}
	held.tokens += granted.Tokens
	held.expiresAt = now.Add(tokenLifetime)
	held.pausedUntil, held.pausedBy, held.retryAfter = now.Add(granted.Pause), source, granted.RetryAfter
	close(held.asking)
	held.asking = nil
	return source
}

// requestTokens gets tokens from the first ranked node that answers, or from this node's equal share.
func (l *Limiter) requestTokens(ctx context.Context, current *snapshot.Snapshot, tenant *snapshot.Tenant, wanted int) (Grant, Source) {
	now := l.options.Now()
	ranked, nodes, since := l.owners.of(current, tenant.Name, now)
	for rank, node := range ranked {
		source := FromOwner
		if rank > 0 {
			source = FromBackup
		}
		if node == l.options.Node {
			return l.granter.grant(tenant, shareOf(rank), wanted, since, now), source
		}
		if l.isAvoided(node, now) {
			continue
		}
		granted, err := l.requestFrom(ctx, node, tenant.Name, wanted)
		if err == nil {
			return granted, source
		}
		if ctx.Err() == nil && !errors.Is(err, errNotRanked) {
			l.avoid(node, err)
		}
	}
	share := IsolatedShare / float64(max(nodes, 1))
	return l.isolated.grant(tenant, share, wanted, now, now), FromIsolated
}
