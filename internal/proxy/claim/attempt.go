package claim

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/wait"
	"github.com/winchhead/winchhead/internal/wire"
)

// attempt is the claim of one request.
type attempt struct {
	memory  *Memory
	request wire.ClaimRequest
	set     replicaSet
	tally   *tally
	limit   time.Duration
}

// answer is what came of a question to a replica; reply is nil without one.
type answer struct {
	from  address
	reply *wire.ClaimReply
}

// run claims the key. Unless it won, the key is released again.
func (a *attempt) run(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, a.limit)
	defer cancel()
	if a.tally.awaited >= a.tally.needed {
		a.claim(ctx)
	} else {
		a.tally.awaited = 0 // too few can be asked
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

// claim asks all replicas at once. Those not heard when the claim is won still get
// the request, as each one more that knows the key may be lost later.
func (a *attempt) claim(ctx context.Context) {
	answers := a.askAll(a.set.replicas, a.request)
	for a.tally.result() == pending {
		select {
		case received := <-answers:
			a.tally.answered(received.from, received.reply)
		case <-ctx.Done():
			a.tally.awaited = 0 // the others count as not reached
		}
	}
}

// askAll sends a request to replicas; each gives one answer within the limit.
func (a *attempt) askAll(replicas []address, request wire.ClaimRequest) <-chan answer {
	answers := make(chan answer, len(replicas))
	for _, to := range replicas {
		a.memory.pool.task(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.limit)
			defer cancel()
			reply, err := a.memory.ask(ctx, to, request)
			if err != nil {
				reply = nil
			}
			answers <- answer{to, reply}
		})
	}
	return answers
}

// othersReleased reports whether the key is free again at all replicas where
// another holder had it. That holder did not run then: a claim that won is
// released only when its request did not run.
func (a *attempt) othersReleased(ctx context.Context) bool {
	query := a.request
	query.Action = wire.ClaimActionQuery
	for _, pause := range queryPauses {
		if wait.For(ctx, pause) != nil {
			return false
		}
		answers := a.askAll(a.tally.takenAt, query)
		if a.allFree(ctx, answers) {
			return true
		}
	}
	return false
}

func (a *attempt) allFree(ctx context.Context, answers <-chan answer) bool {
	for range a.tally.takenAt {
		select {
		case received := <-answers:
			if received.reply == nil || received.reply.Verdict != wire.ClaimFree {
				return false
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// release frees the key at all replicas, in the background: also where no grant
// was heard of, as it may be on its way.
func (a *attempt) release() {
	request := a.request
	request.Action = wire.ClaimActionRelease
	for _, to := range a.set.replicas {
		a.memory.pool.task(func(ctx context.Context) { a.memory.release(ctx, to, request) })
	}
}

func (m *Memory) release(ctx context.Context, to address, request wire.ClaimRequest) {
	for _, pause := range releasePauses {
		if wait.For(ctx, pause) != nil {
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
