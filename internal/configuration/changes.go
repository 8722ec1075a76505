package configuration

import (
	"github.com/winchhead/winchhead/internal/snapshot"
)

// ApplyFleetChanges applies changes to instances and evacuations that are newer than the document in
// force, without waiting for the document that contains them. That document may arrive a second
// later while a large configuration is being transferred, and until then requests would still be
// sent to instances that leave.
func (a *Applier) ApplyFleetChanges(changes []snapshot.Change) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, change := range changes {
		a.enterEpoch(change.Revision)
	}
	retained := a.retainEarlierEpochs(changes)
	added := a.changes.Add(changes, a.store.HighWater().Revision)
	if a.plan == nil || len(added) == 0 && !retained {
		return
	}
	a.restore.retained.DropConfirmed(a.plan.Document().Content(), &a.changes)
	a.applyFleet()
}

// applyFleet swaps in a snapshot of the current document with the pending changes and retained
// states applied to it. The caller must hold the mutex.
func (a *Applier) applyFleet() {
	previous := a.store.Current()
	next := previous.WithChanges(a.plan.Document(), &a.changes, &a.restore.retained)
	if !a.store.AdoptFleet(next.WithPrevious(previous)) {
		return // another version came into force; its document will contain these changes
	}
	current := a.store.Current()
	a.reportFleet(previous, current, learnedByChange)
	a.watchers.notify(Update{InForce: current.Version(), Generation: current.Generation(), Refusal: a.refusal})
}
