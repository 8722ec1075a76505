package claim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/repeat"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// claimShare is the part of a request's remaining time that its claim may take.
	claimShare = 4
	// longestClaim bounds the time of a claim.
	longestClaim = time.Second
	// defaultRemaining is the time of a request whose context has no deadline.
	defaultRemaining = 10 * time.Second
	// releaseTimeout bounds one attempt to release a key at a replica.
	releaseTimeout = time.Second
)

// queryPauses are the waits before each question whether another holder that was
// met has released the key.
var queryPauses = [...]time.Duration{10 * time.Millisecond, 40 * time.Millisecond, 150 * time.Millisecond}

// releasePauses are the waits before each attempt to release a key at a replica.
var releasePauses = [...]time.Duration{0, 100 * time.Millisecond, time.Second}

// Options are what a Memory is made from. All but Registerer are required.
type Options struct {
	// Local remembers keys in this process, with the answers.
	Local repeat.Memory
	// Self names this process.
	Self func() (membership.NodeID, membership.Incarnation)
	View func() *membership.View
	// Replica is this node's own, asked without a connection.
	Replica *Replica
	// Dial opens a stream to a peer address (IP:port).
	Dial func(ctx context.Context, peer string) (Stream, error)
	// Replicas is how many nodes remember a key; at least 1.
	Replicas int
	// Lifetime is how long a key is remembered after the time of its request.
	Lifetime   time.Duration
	Registerer prometheus.Registerer
}

// Memory is a repeat.Memory that claims each first request's key at the key's
// replicas before it runs.
type Memory struct {
	options Options
	pool    *pool
	metrics *metrics
	last    atomic.Uint64 // number of the last claim
}

// NewMemory returns a Memory, or an error when its metrics cannot be registered.
// It must be closed.
func NewMemory(options Options) (*Memory, error) {
	created := &Memory{options: options, pool: newPool(options.Dial)}
	var err error
	created.metrics, err = newMetrics(options.Registerer)
	return created, err
}

// Close drops releases on their way and closes all connections.
func (m *Memory) Close() { m.pool.close() }

// Begin implements repeat.Memory. The error is repeat.ErrNoQuorum when too few
// replicas granted the key, or when two claims met and neither won.
func (m *Memory) Begin(ctx context.Context, key repeat.Key, fingerprint repeat.Fingerprint) (repeat.Claim, error) {
	local, err := m.options.Local.Begin(ctx, key, fingerprint)
	if err != nil || local.Verdict != repeat.First {
		return local, err
	}
	begun := time.Now()
	attempt := m.newAttempt(ctx, key, fingerprint)
	outcome := attempt.run(ctx)
	m.metrics.ended(outcome, time.Since(begun))
	if outcome == won {
		return repeat.Claim{Verdict: repeat.First, Run: &claimedRun{Run: local.Run, attempt: attempt}}, nil
	}
	local.Run.End(repeat.EndedNotRun, nil)
	switch {
	case outcome == conflict:
		return repeat.Claim{Verdict: repeat.Conflict}, nil
	case outcome == taken && attempt.tally.running:
		return repeat.Claim{Verdict: repeat.Running}, nil
	case outcome == taken:
		return repeat.Claim{Verdict: repeat.Lost}, nil
	default:
		return repeat.Claim{}, repeat.ErrNoQuorum
	}
}

// claimedRun is the right to run a request whose key was claimed.
type claimedRun struct {
	repeat.Run
	attempt *attempt
	ended   atomic.Bool
}

// End implements repeat.Run.
func (r *claimedRun) End(ending repeat.Ending, answer *repeat.Answer) {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	if ending == repeat.EndedNotRun {
		r.attempt.release()
	}
	r.Run.End(ending, answer)
}

func (m *Memory) newAttempt(ctx context.Context, key repeat.Key, fingerprint repeat.Fingerprint) *attempt {
	remaining := defaultRemaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = time.Until(deadline)
	}
	node, incarnation := m.options.Self()
	request := wire.ClaimRequest{
		Action:      wire.ClaimActionClaim,
		Key:         keyOf(key),
		Fingerprint: wire.ClaimFingerprint(fingerprint),
		Holder:      wire.ClaimHolder{Node: node, Incarnation: incarnation, Number: m.last.Add(1)},
		RunsFor:     remaining.Milliseconds(),
		Hold:        (remaining + m.options.Lifetime).Milliseconds(),
	}
	set := replicasOf(request.Key, m.options.View(), m.options.Replicas)
	return &attempt{
		memory:  m,
		request: request,
		set:     set,
		tally:   newTally(set),
		limit:   min(remaining/claimShare, longestClaim),
	}
}

// ask asks a replica, the own one without a connection.
func (m *Memory) ask(ctx context.Context, to address, request wire.ClaimRequest) (*wire.ClaimReply, error) {
	if to.node == request.Holder.Node {
		return m.options.Replica.handle(&request), nil
	}
	return m.pool.ask(ctx, to, &request)
}
