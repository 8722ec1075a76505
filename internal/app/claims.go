package app

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/dig"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/claim"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/settings"
)

func newClaimReplica(registerer prometheus.Registerer) (*claim.Replica, error) {
	return claim.NewReplica(registerer)
}

// claimInputs are the dependencies of the memory of claimed keys.
type claimInputs struct {
	dig.In

	Settings   settings.Settings
	Listeners  *listeners
	Self       membership.Record
	Node       *distribution.Node
	Replica    *claim.Replica
	Registerer prometheus.Registerer
}

// newClaims returns nil for a node without a backend, if claims are turned off, and
// if the platform is a store.
func newClaims(inputs claimInputs) (*claim.Memory, error) {
	configured := inputs.Settings.Inbound
	if inputs.Listeners.inbound == nil || configured.IdempotencyKeyReplicas == 0 || inputs.Settings.Platform.Kind == settings.PlatformStore {
		return nil, nil
	}
	return claim.NewMemory(claim.Options{
		Local: idempotency.NewLocal(idempotency.DefaultLimits(configured.IdempotencyKeyRetention)),
		Self: func() (membership.NodeID, membership.Incarnation) {
			return inputs.Self.Node, inputs.Node.Status().Incarnation
		},
		View:    inputs.Node.View,
		Replica: inputs.Replica,
		Dial: func(ctx context.Context, peer string) (claim.Stream, error) {
			stream, err := inputs.Node.OpenClaims(ctx, peer)
			if err != nil {
				return nil, err
			}
			return stream, nil
		},
		Replicas:   configured.IdempotencyKeyReplicas,
		Lifetime:   configured.IdempotencyKeyRetention,
		Registerer: inputs.Registerer,
	})
}
