package claim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// claimTimeDivisor limits a claim to this fraction (1/4) of its request's
	// remaining time.
	claimTimeDivisor = 4
	// maxClaimTimeout bounds the time of a claim.
	maxClaimTimeout = time.Second
	// defaultRemaining is the remaining time of a request whose context has no
	// deadline.
	defaultRemaining = 10 * time.Second
	// releaseTimeout bounds one attempt to release a key at a replica.
	releaseTimeout = time.Second
)

// queryDelays are the delays before each query whether a competing holder has released
// the key.
var queryDelays = [...]time.Duration{10 * time.Millisecond, 40 * time.Millisecond, 150 * time.Millisecond}

// releaseDelays are the delays before each attempt to release a key at a replica.
var releaseDelays = [...]time.Duration{0, 100 * time.Millisecond, time.Second}

// Options configure a Memory. All but Registerer are required.
type Options struct {
	// Local remembers keys and their responses in this process.
	Local idempotency.Memory
	// Self identifies this process.
	Self func() (membership.NodeID, membership.Incarnation)
	View func() *membership.View
	// Replica is this node's own replica, which is called without a connection.
	Replica *Replica
	// Dial opens a stream to a peer address (IP:port).
	Dial func(ctx context.Context, peer string) (Stream, error)
	// Replicas is how many nodes remember a key; at least 1.
	Replicas int
	// Lifetime is how long a key is remembered after its request's deadline.
	Lifetime   time.Duration
	Registerer prometheus.Registerer
}

// Memory is a idempotency.Memory that claims the key of a first request at the key's
// replicas before the request runs.
type Memory struct {
	options    Options
	pool       *pool
	metrics    *metrics
	lastNumber atomic.Uint64 // number of the last claim
}

// NewMemory returns a Memory, or an error if its metrics cannot be registered. The
// caller must close it.
func NewMemory(options Options) (*Memory, error) {
	created := &Memory{options: options, pool: newPool(options.Dial)}
	var err error
	created.metrics, err = newMetrics(options.Registerer)
	return created, err
}

// Close drops pending releases and closes all connections.
func (m *Memory) Close() { m.pool.close() }

// Begin implements idempotency.Memory. The error is idempotency.ErrNoQuorum if too few replicas
// granted the key, or if two claims competed and neither won.
func (m *Memory) Begin(ctx context.Context, key idempotency.Key, fingerprint idempotency.Fingerprint) (idempotency.Claim, error) {
	local, err := m.options.Local.Begin(ctx, key, fingerprint)
	if err != nil || local.Verdict != idempotency.First {
		return local, err
	}
	startTime := time.Now()
	attempt := m.newAttempt(ctx, key, fingerprint)
	outcome := attempt.run(ctx)
	m.metrics.ended(outcome, time.Since(startTime))
	if outcome == won {
		return idempotency.Claim{Verdict: idempotency.First, Run: &claimedRun{Run: local.Run, attempt: attempt}}, nil
	}
	local.Run.End(idempotency.EndedNotRun, nil)
	switch {
	case outcome == conflict:
		return idempotency.Claim{Verdict: idempotency.Conflict}, nil
	case outcome == taken && attempt.tally.running:
		return idempotency.Claim{Verdict: idempotency.Running}, nil
	case outcome == taken:
		return idempotency.Claim{Verdict: idempotency.Lost}, nil
	default:
		return idempotency.Claim{}, idempotency.ErrNoQuorum
	}
}

// claimedRun is the permission to run a request whose key was claimed.
type claimedRun struct {
	idempotency.Run
	attempt *attempt
	ended   atomic.Bool
}

// End implements idempotency.Run.
func (r *claimedRun) End(ending idempotency.Ending, response *idempotency.Response) {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	if ending == idempotency.EndedNotRun {
		r.attempt.release()
	}
	r.Run.End(ending, response)
}

func (m *Memory) newAttempt(ctx context.Context, key idempotency.Key, fingerprint idempotency.Fingerprint) *attempt {
	remaining := defaultRemaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	node, incarnation := m.options.Self()
	request := wire.ClaimRequest{
		Action:          wire.ClaimActionClaim,
		Key:             keyOf(key),
		Fingerprint:     wire.ClaimFingerprint(fingerprint),
		Holder:          wire.ClaimHolder{Node: node, Incarnation: incarnation, Number: m.lastNumber.Add(1)},
		RemainingMillis: remaining.Milliseconds(),
		GrantMillis:     (remaining + m.options.Lifetime).Milliseconds(),
	}
	set := replicasOf(request.Key, m.options.View(), m.options.Replicas)
	return &attempt{
		memory:  m,
		request: request,
		set:     set,
		tally:   newTally(set),
		timeout: min(remaining/claimTimeDivisor, maxClaimTimeout),
	}
}

// ask sends a request to a replica, or calls this node's own replica directly.
func (m *Memory) ask(ctx context.Context, to address, request wire.ClaimRequest) (*wire.ClaimReply, error) {
	if to.node == request.Holder.Node {
		return m.options.Replica.handle(&request), nil
	}
	return m.pool.ask(ctx, to, &request)
}
