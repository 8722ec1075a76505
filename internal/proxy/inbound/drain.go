package inbound

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/wait"
)

// drainNotice is how long a planned stop still takes new work after it was
// published: the fleet learns of it within that time, and a request that is on its
// way meanwhile need not be refused and sent elsewhere. It is the time within
// which a leaving instance must stop getting new work.
const drainNotice = 2 * time.Second

// Drain is a planned stop. It publishes that the instance drains, takes new work
// for drainNotice more, then refuses it as not run, and waits for the requests and
// sessions in progress, at most for the settings' DrainGrace. The error says that
// some were left; Close cuts them. It does not close the listener: until the server
// is shut down, late requests get their refusal.
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
		return eris.Wrapf(err, "inbound proxy: drain: %d requests and sessions left", p.activity.Active())
	}
	return nil
}
