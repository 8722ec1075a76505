package mesh

import (
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// Backend is the emulated backend of a sidecar. Its journal is kept across Kill
// and Restart.
type Backend struct {
	*backend.Backend
	// Node is the name of its sidecar.
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

// Restart starts the backend again after Kill or Close, at the same address.
func (b *Backend) Restart() error { return b.Start(b.address) }
