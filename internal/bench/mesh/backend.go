package mesh

import (
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// Backend is the emulated back end beside a node. Its journal outlives Kill.
type Backend struct {
	*backend.Backend
	// Node is the name of the node beside it.
	Node    string
	address string
}

func startBackend(options backend.Options, plan deployment.Node) (*Backend, error) {
	options.Name = plan.Node.Name
	options.Slots = plan.Inbound.Slots
	options.Connections = plan.Inbound.Connections
	options.Outbound = plan.Outbound.Listen
	instance := &Backend{Backend: backend.New(options), Node: plan.Node.Name, address: plan.Inbound.Backend}
	return instance, instance.Restart()
}

// Restart listens again after Kill or Close.
func (b *Backend) Restart() error { return b.Start(b.address) }
