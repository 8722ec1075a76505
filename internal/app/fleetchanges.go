package app

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// fleetChanges applies changes of instances and evacuations that arrive ahead of their
// documents, and records how old they were on arrival.
type fleetChanges struct {
	applier *configuration.Applier
	age     prometheus.Histogram
}

// changeAgeBuckets are the histogram's bounds in seconds. Links take milliseconds, a
// reader collects changes for 0.25 s, and operators allow 2 s.
var changeAgeBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2}

func newFleetChanges(applier *configuration.Applier, registerer prometheus.Registerer) (*fleetChanges, error) {
	created := &fleetChanges{applier: applier, age: prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "winchhead_fleet_change_age_seconds",
		Help:    "Time from the reading of a change of an instance or evacuation until this node had it ahead of a document.",
		Buckets: changeAgeBuckets,
	})}
	return created, eris.Wrap(registerer.Register(created.age), "register the metric of fleet changes")
}

// apply puts changes that are new to this node in force and returns without waiting
// for anything slow.
func (f *fleetChanges) apply(learned []distribution.AgedChange) {
	now := clock.Now()
	changes := make([]snapshot.Change, len(learned))
	for i, change := range learned {
		changes[i] = change.Change
		f.age.Observe(max(now.Sub(change.ReadAt), time.Duration(0)).Seconds())
	}
	f.applier.ApplyFleetChanges(changes)
}
