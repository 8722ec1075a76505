package configuration

import (
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// BlockCompilations makes the next compilations signal their start and wait for a call of release.
func (a *Applier) BlockCompilations() (started <-chan struct{}, release func()) {
	starts, released := make(chan struct{}, 1), make(chan struct{})
	a.newPlan = func(document *snapshot.Document) (*policy.Plan, error) {
		starts <- struct{}{}
		<-released
		return policy.NewPlan(document)
	}
	return starts, func() { close(released) }
}
