package inbound

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/suspects"
)

// probeSemaphore allows one suspected request at a time to run on the instance, so that a
// crash can be attributed to it. Otherwise, if a request that crashes instances is sent again
// and again, it could not be told apart from the other requests in progress at each crash.
type probeSemaphore struct{ available chan struct{} }

func newProbeSemaphore() probeSemaphore {
	created := probeSemaphore{available: make(chan struct{}, 1)}
	created.available <- struct{}{}
	return created
}

// acquire waits for the end of the probe in progress, for at most maxWait.
func (s probeSemaphore) acquire(ctx context.Context, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-s.available:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (s probeSemaphore) release() { s.available <- struct{}{} }

// deliverSuspect sends a request that may have crashed an instance before. locallySuspected is
// set if this node has a record of that crash itself; otherwise the record has not arrived yet.
func (p *Proxy) deliverSuspect(ctx context.Context, request *message.Request, order hop.Order, locallySuspected bool) Delivery {
	if !p.probes.acquire(ctx, order.MaxWait) {
		return p.refuse(hop.ReasonProbe, probeRetryAfter)
	}
	defer p.probes.release()
	standing := p.standing(request)
	if standing == suspects.Quarantined {
		return p.refuse(hop.ReasonCrashesInstances, 0)
	}
	cleared := locallySuspected && standing == suspects.Clear // the probe before had the same content
	order.Suspected = !cleared
	return p.deliverAdmitted(ctx, request, order)
}

// probeRetryAfter is the time after which a request refused during another probe is worth
// sending again.
const probeRetryAfter = 200 * time.Millisecond

// standing returns the status of a request according to this node's tracker.
func (p *Proxy) standing(request *message.Request) suspects.Standing {
	if p.options.Suspects.IsEmpty() {
		return suspects.Clear
	}
	return p.options.Suspects.Assess(fingerprintOf(request)).Standing
}

// clearSuspicion clears the content of a request that the instance has answered.
func (p *Proxy) clearSuspicion(request *message.Request) {
	if !p.options.Suspects.IsEmpty() {
		p.options.Suspects.Clear(fingerprintOf(request))
	}
}
