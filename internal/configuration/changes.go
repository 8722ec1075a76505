package configuration

import (
	"github.com/winchhead/winchhead/internal/snapshot"
)

// ChangeFleet takes over changes of instances and evacuations that are newer than the document
// in force, and puts them in force at once. A document that brings them too may be a second
// behind, as it waits for a large configuration on its way; requests would go on to instances
// that leave.
func (a *Applier) ChangeFleet(changes []snapshot.Change) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	news := a.changes.Add(changes, a.store.HighWater().Revision)
	if len(news) == 0 || a.plan == nil {
		return
	}
	former := a.store.Current()
	if !a.store.AdoptFleet(former.WithChanges(a.plan.Document(), &a.changes).Following(former)) {
		return // the next document brings them
	}
	current := a.store.Current()
	a.announceFleet(former, current, wayChange)
	a.watchers.notify(Change{InForce: current.Version(), Generation: current.Generation(), Refusal: a.refusal})
}
