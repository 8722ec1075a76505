package app

import (
	"sync"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
)

// fleetWatch is the Applier with an eye on the fleet: it tells when the first back end is
// known that takes work. Without any, a node refuses all requests for want of instances.
type fleetWatch struct {
	*configuration.Applier
	self membership.NodeID
	// known is closed once a back end beside another node takes work.
	known chan struct{}
	once  sync.Once
}

var _ distribution.Adopter = (*fleetWatch)(nil)

// newFleetWatch returns a fleetWatch that knows no other node.
func newFleetWatch(applier *configuration.Applier, self membership.Record) *fleetWatch {
	return &fleetWatch{Applier: applier, self: self.Node, known: make(chan struct{})}
}

// FleetChanged implements distribution.Adopter.
func (w *fleetWatch) FleetChanged(view *membership.View) {
	w.Applier.FleetChanged(view)
	if w.holdsBackEnd(view) {
		w.once.Do(func() { close(w.known) })
	}
}

// holdsBackEnd reports whether a back end beside another node takes work.
func (w *fleetWatch) holdsBackEnd(view *membership.View) bool {
	for member := range view.All() {
		if member.Record.Node != w.self && member.MayTakeWork() {
			return true
		}
	}
	return false
}
