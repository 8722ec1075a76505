package wire

import "github.com/winchhead/winchhead/internal/snapshot"

// FleetChanges carries changes of instances and evacuations ahead of the documents that hold
// them.
type FleetChanges struct{ Changes []FleetChange }

// FleetChange is a snapshot.Change in its encoded form.
type FleetChange struct {
	Revision snapshot.Revision
	// Resource has no body if it is gone.
	Resource snapshot.Resource
	// Age is how long ago a reader read of it, in milliseconds.
	Age int64
}

// Type returns TypeFleetChanges.
func (*FleetChanges) Type() Type { return TypeFleetChanges }

func (e encoder) fleetChange(change FleetChange) {
	e.unsigned(uint64(change.Revision))
	e.resource(change.Resource)
	e.long(change.Age)
}

func (d decoder) fleetChange() FleetChange {
	return FleetChange{Revision: snapshot.Revision(d.unsigned()), Resource: d.resource(), Age: d.long()}
}
