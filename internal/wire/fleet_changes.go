package wire

import "github.com/winchhead/winchhead/internal/snapshot"

// FleetChanges carries changes of instances and evacuations before the documents that contain
// them.
type FleetChanges struct{ Changes []FleetChange }

// FleetChange is a snapshot.Change as encoded in a message.
type FleetChange struct {
	Revision snapshot.Revision
	// Resource has no body if the resource was removed.
	Resource snapshot.Resource
	// Age is how long ago a reader read the change from the source, in milliseconds.
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
