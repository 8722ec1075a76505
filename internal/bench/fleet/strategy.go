package fleet

import (
	"context"
	"net"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/keys"
	"github.com/winchhead/winchhead/internal/keys/throwaway"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// runner is what a process of a node runs: the product's distribution, or a
// baseline to compare it with.
type runner interface {
	// Run ends with ctx.
	Run(ctx context.Context) error
}

// strategy makes the runner of one process.
type strategy func(node *simulatedNode, running *runningNode, listener net.Listener) (runner, error)

// distributed is the product's own strategy.
func distributed(node *simulatedNode, running *runningNode, listener net.Listener) (runner, error) {
	f := node.fleet
	options := distribution.Options{
		Self:           node.record(),
		Listener:       &processListener{Listener: listener, process: running.process, traffic: f.traffic},
		Configuration:  running.client,
		Members:        running.client,
		Adopter:        running.adopter,
		Logger:         logging.Discard(),
		Seed:           f.settings.Seed + uint64(node.at.node),
		Timing:         f.settings.Timing,
		Dial:           node.dialPeer(running.process),
		ReadersPerZone: f.settings.ReadersPerZone,
		MaxLinks:       f.settings.MaxLinks,
		Hold:           func() { running.process.await(nil) },
	}
	if node.keys != nil {
		options.TLS = node.keys.NodeConfig()
	}
	started, err := distribution.NewNode(options)
	if err != nil {
		return nil, err
	}
	running.node = started
	return started, nil
}

// issue makes keys for one node.
func (f *Fleet) issue(name string) (*keys.Keys, error) {
	pair, err := f.authority.Issue(throwaway.Request{Name: name})
	if err != nil {
		return nil, err
	}
	return keys.FromPEM(pair.Certificate, pair.Key, f.authority.Certificate())
}

// offer hands a document to the node's adopter if it is newer than what the node
// holds, for baselines, which have no engine to decide it.
func (n *runningNode) offer(document *snapshot.Document) error {
	if !document.Version().Newer(n.adopter.store.HighWater()) {
		return nil
	}
	return n.adopter.Adopt(document)
}

func nodeID(index int) membership.NodeID { return membership.NodeID(nodeName(index)) }
