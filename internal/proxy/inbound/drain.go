package inbound

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/wait"
)

// drainNotice is how long a draining instance still accepts requests after the drain
// was published. The fleet learns of the drain within that time, so a request that is
// already on its way need not be refused and sent elsewhere. It is also the time
// within which a leaving instance must stop getting new requests.
const drainNotice = 2 * time.Second

// Drain prepares a graceful shutdown. It publishes that the instance drains, accepts
// requests for drainNotice, then refuses them as not run, and waits at most the
// settings' DrainGrace for the requests and sessions in progress. It returns an error
// if some are left; Close cuts them. It does not close the listener: until the server
// is shut down, late requests get a refusal.
func (p *Proxy) Drain(ctx context.Context) error {
	p.stopping.Store(true)
	p.readiness.stop()
	if err := wait.For(ctx, drainNotice); err != nil {
		p.refusing.Store(true)
		return eris.Wrap(err, "inbound proxy: drain")
	}
	p.refusing.Store(true)
	ctx, cancel := context.WithTimeout(ctx, p.settings.DrainGrace)
	defer cancel()
	if err := p.activity.WaitIdle(ctx); err != nil {
		return eris.Wrapf(err, "inbound proxy: drain: %d requests and sessions still in progress", p.activity.Active())
	}
	return nil
}
