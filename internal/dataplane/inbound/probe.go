package inbound

import (
	"context"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/suspects"
)

// probes lets one suspected request at a time run on the instance: when it crashes, there is
// one to blame. Without them, of the requests that are in progress at each crash of a request
// that comes again and again, nothing tells victims from the one at fault.
type probes struct{ free chan struct{} }

func newProbes() probes {
	created := probes{free: make(chan struct{}, 1)}
	created.free <- struct{}{}
	return created
}

// acquire waits for the end of the probe in progress, no longer than the patience.
func (t probes) acquire(ctx context.Context, patience time.Duration) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-t.free:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (t probes) release() { t.free <- struct{}{} }

// deliverSuspect brings a request to the instance that may have crashed one before. known says
// that this node knows of that too; otherwise the record of the crash is still on its way.
func (p *Proxy) deliverSuspect(ctx context.Context, request *message.Request, order hop.Order, known bool) Delivery {
	if !p.probes.acquire(ctx, order.MaxWait) {
		return p.refuse(hop.ReasonProbe, probeRetry)
	}
	defer p.probes.release()
	standing := p.standing(request)
	if standing == suspects.Quarantined {
		return p.refuse(hop.ReasonCrashesInstances, 0)
	}
	cleared := known && standing == suspects.Clear // what was probed before it was of the same content
	order.Suspected = !cleared
	return p.deliverAdmitted(ctx, request, order)
}

// probeRetry is when a request is worth sending again while another one is probed.
const probeRetry = 200 * time.Millisecond

// standing judges a request by what this node knows.
func (p *Proxy) standing(request *message.Request) suspects.Standing {
	if p.options.Suspects.IsEmpty() {
		return suspects.Clear
	}
	return p.options.Suspects.Assess(contentOf(request)).Standing
}

// answered clears the content of a request that the instance answered.
func (p *Proxy) answered(request *message.Request) {
	if !p.options.Suspects.IsEmpty() {
		p.options.Suspects.Answered(contentOf(request))
	}
}
