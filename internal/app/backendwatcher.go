package app

import (
	"sync"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
)

// backEndWatcher is an Applier that also watches the fleet for the first backend that
// accepts work. Without any, a node refuses all requests because no instance is available.
type backEndWatcher struct {
	*configuration.Applier
	self membership.NodeID
	// available is closed once another node's backend accepts work.
	available chan struct{}
	once      sync.Once
}

var _ distribution.Adopter = (*backEndWatcher)(nil)

// newBackEndWatcher returns a backEndWatcher that knows no other node yet.
func newBackEndWatcher(applier *configuration.Applier, self membership.Record) *backEndWatcher {
	return &backEndWatcher{Applier: applier, self: self.Node, available: make(chan struct{})}
}

// FleetChanged implements distribution.Adopter.
func (w *backEndWatcher) FleetChanged(view *membership.View) {
	w.Applier.FleetChanged(view)
	if w.hasAvailableBackEnd(view) {
		w.once.Do(func() { close(w.available) })
	}
}

// hasAvailableBackEnd reports whether another node's backend accepts work.
func (w *backEndWatcher) hasAvailableBackEnd(view *membership.View) bool {
	for member := range view.All() {
		if member.Record.Node != w.self && member.MayTakeWork() {
			return true
		}
	}
	return false
}
