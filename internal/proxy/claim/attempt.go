package claim

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/wait"
	"github.com/winchhead/winchhead/internal/wire"
)

// attempt is the claim of one request's key.
type attempt struct {
	memory  *Memory
	request wire.ClaimRequest
	set     replicaSet
	tally   *tally
	timeout time.Duration
}

// replicaReply is the reply of a replica; reply is nil if it did not reply.
type replicaReply struct {
	from  address
	reply *wire.ClaimReply
}

// run claims the key. Unless the claim is won, the key is released again.
func (a *attempt) run(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	if a.tally.awaited >= a.tally.needed {
		a.claim(ctx)
	} else {
		a.tally.awaited = 0 // fewer replicas are known than are needed
	}
	outcome := a.tally.result()
	if outcome == won {
		return outcome
	}
	a.release()
	if outcome == taken && a.othersReleased(ctx) {
		return noQuorum
	}
	return outcome
}

// claim asks all replicas at once. Replicas that have not replied when the claim is
// won still get the request: each further replica that knows the key makes up for one
// that may be lost later.
func (a *attempt) claim(ctx context.Context) {
	replies := a.askAll(a.set.replicas, a.request)
	for a.tally.result() == pending {
		select {
		case received := <-replies:
			a.tally.recordReply(received.from, received.reply)
		case <-ctx.Done():
			a.tally.awaited = 0 // the remaining replicas count as unreachable
		}
	}
}

// askAll sends a request to replicas; each yields one reply within the timeout.
func (a *attempt) askAll(replicas []address, request wire.ClaimRequest) <-chan replicaReply {
	replies := make(chan replicaReply, len(replicas))
	for _, to := range replicas {
		a.memory.pool.startTask(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.timeout)
			defer cancel()
			reply, err := a.memory.ask(ctx, to, request)
			if err != nil {
				reply = nil
			}
			replies <- replicaReply{to, reply}
		})
	}
	return replies
}

// othersReleased reports whether the key is free again at all replicas where another
// holder had it. The request of that holder did not run then: a claim that was won is
// released only if its request did not run.
func (a *attempt) othersReleased(ctx context.Context) bool {
	query := a.request
	query.Action = wire.ClaimActionQuery
	for _, delay := range queryDelays {
		if wait.For(ctx, delay) != nil {
			return false
		}
		replies := a.askAll(a.tally.takenAt, query)
		if a.allFree(ctx, replies) {
			return true
		}
	}
	return false
}

func (a *attempt) allFree(ctx context.Context, replies <-chan replicaReply) bool {
	for range a.tally.takenAt {
		select {
		case received := <-replies:
			if received.reply == nil || received.reply.Verdict != wire.ClaimFree {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// release frees the key at all replicas, in the background. This includes replicas
// that did not grant it so far, as the grant may be on its way.
func (a *attempt) release() {
	request := a.request
	request.Action = wire.ClaimActionRelease
	for _, to := range a.set.replicas {
		a.memory.pool.startTask(func(ctx context.Context) { a.memory.release(ctx, to, request) })
	}
}

func (m *Memory) release(ctx context.Context, to address, request wire.ClaimRequest) {
	for _, delay := range releaseDelays {
		if wait.For(ctx, delay) != nil {
			return
		}
		limited, cancel := context.WithTimeout(ctx, releaseTimeout)
		_, err := m.ask(limited, to, request)
		cancel()
		if err == nil {
			return
		}
	}
}
