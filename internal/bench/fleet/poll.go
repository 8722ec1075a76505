package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wait"
)

// poller is the baseline in which each node asks the platform for the document
// at a fixed interval.
type poller struct {
	running  *runningNode
	interval time.Duration
	phase    time.Duration
}

// polling returns the strategy of nodes that poll the platform.
func polling(interval time.Duration) strategy {
	return func(node *simulatedNode, running *runningNode, listener net.Listener) (runner, error) {
		listener.Close() // nobody calls a poller
		random := rand.New(rand.NewPCG(node.fleet.settings.Seed, uint64(node.at.node)))
		phase := time.Duration(random.Int64N(int64(interval)))
		return &poller{running: running, interval: interval, phase: phase}, nil
	}
}

// Run implements runner.
func (p *poller) Run(ctx context.Context) error {
	for pause := p.phase; wait.For(ctx, pause) == nil; pause = p.interval {
		document, outcome := p.running.client.Fetch(ctx, p.running.adopter.store.HighWater())
		if outcome.Status != source.StatusFresh {
			continue
		}
		if err := p.running.offer(document); err != nil {
			return err
		}
	}
	return nil
}
