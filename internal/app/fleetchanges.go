package app

import (
	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// learnFleetChanges returns what puts changes of instances and evacuations in force.
func learnFleetChanges(applier *configuration.Applier) func([]distribution.AgedChange) {
	return func(learned []distribution.AgedChange) {
		changes := make([]snapshot.Change, len(learned))
		for i, change := range learned {
			changes[i] = change.Change
		}
		applier.ChangeFleet(changes)
	}
}
