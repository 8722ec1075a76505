package configuration

import (
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// HoldCompilations has the compilations that follow tell that they began, and wait to be let go.
func (a *Applier) HoldCompilations() (began <-chan struct{}, letGo func()) {
	begun, released := make(chan struct{}, 1), make(chan struct{})
	a.newPlan = func(document *snapshot.Document) (*policy.Plan, error) {
		begun <- struct{}{}
		<-released
		return policy.NewPlan(document)
	}
	return begun, func() { close(released) }
}
