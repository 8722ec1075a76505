package distribution_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// numberInForce is the number of the configuration in force when the source is restored.
	numberInForce = 20
	// restoredZones is the number of zones of a fleet whose source is restored.
	restoredZones = 4
)

// restoredFleet is a fleet whose source is restored from backups. It checks that no process ever
// goes back to a configuration with a lower number.
type restoredFleet struct {
	*simulation.Fleet
	c *qt.C
	// numbers maps versions to the numbers of their configurations; held is the highest number
	// that each machine's process has had in force.
	numbers map[snapshot.Version]uint64
	held    map[membership.NodeID]uint64
	// inForce is the document whose configuration has the highest number.
	inForce *snapshot.Document
	// at is the last published revision.
	at snapshot.Revision
}

// newRestoredFleet starts a fleet in which all nodes have the configuration numberInForce in force.
func newRestoredFleet(c *qt.C, size int) *restoredFleet {
	f := &restoredFleet{c: c, numbers: make(map[snapshot.Version]uint64), held: make(map[membership.NodeID]uint64)}
	f.Fleet = simulation.New(simulation.Options{
		Seed: uint64(size), Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
		Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
	})
	f.OnAdopt = f.adopted
	f.at = snapshot.NewRevision(1, 90)
	f.publish(numberInForce)
	for i := range size {
		f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%03d", i)), Zone: fmt.Sprintf("zone-%d", i%restoredZones), Region: "r"}, nil)
	}
	f.Run(10 * time.Second)
	c.Assert(f.allHoldConfiguration(numberInForce, nil), qt.IsTrue)
	return f
}

func (f *restoredFleet) adopted(name membership.NodeID, version snapshot.Version) {
	number := f.numbers[version]
	if number < f.held[name] {
		f.c.Errorf("%s at %s: configuration %d was replaced by %d", f.Now(), name, f.held[name], number)
	}
	f.held[name] = max(f.held[name], number)
}

// publish publishes a configuration as the next revision.
func (f *restoredFleet) publish(number uint64, changes ...snapshot.Change) {
	f.at = f.at.Next()
	f.publishAt(number, changes)
}

// restore restores the source in a new epoch, with an older configuration and without the last
// revisions, lost in number.
func (f *restoredFleet) restore(number, lost uint64) {
	f.at = snapshot.NewRevision(f.at.Epoch()+1, f.at.Number()-lost)
	f.publishAt(number, nil)
}

// publishAt publishes a document, and records as published the document that results at nodes
// which keep a configuration with a higher number.
func (f *restoredFleet) publishAt(number uint64, changes []snapshot.Change) {
	document := numberedDocument(f.at, number, "i-1")
	kept, err := document.WithNewerConfiguration(f.inForce)
	f.c.Assert(err, qt.IsNil)
	if kept == document {
		f.inForce = document
	}
	f.numbers[document.Version()], f.numbers[kept.Version()] = number, f.inForce.Origin().Number
	f.Platform.AddPublished(kept)
	f.Platform.PublishChanges(document, changes...)
}

// allHoldConfiguration reports whether all running machines except some have a configuration in force.
func (f *restoredFleet) allHoldConfiguration(number uint64, except []membership.NodeID) bool {
	for _, name := range f.Machines() {
		if held, running := f.Held(name); running && f.numbers[held] != number && !slices.Contains(except, name) {
			return false
		}
	}
	return true
}

// allInEpoch reports whether all running machines except some have entered an epoch.
func (f *restoredFleet) allInEpoch(epoch uint64, except []membership.NodeID) bool {
	for _, name := range f.Machines() {
		if held, running := f.Held(name); running && held.Revision.Epoch() != epoch && !slices.Contains(except, name) {
			return false
		}
	}
	return true
}

// restart kills the process of a machine and starts a new one after a delay.
func (f *restoredFleet) restart(name membership.NodeID, after time.Duration) {
	f.Kill(name)
	f.Run(after)
	delete(f.held, name)
	f.Restart(name)
}

// checkChangesAfterRestore checks the changes that are acknowledged after the restore. A change of
// an instance has to be known at 99% of the nodes in 0.3 s and at all in 1 s, and a configuration
// in force in 1.5 s.
func (f *restoredFleet) checkChangesAfterRestore(next uint64, except []membership.NodeID) {
	const (
		changeKnown, soon   = time.Second, 300 * time.Millisecond
		configurationKnown  = 1500 * time.Millisecond
		shareOfNodes        = 0.99
		changes, betweenTwo = 3, 400 * time.Millisecond
	)
	size := len(f.Machines()) - len(except)
	for i := range changes {
		number := f.inForce.Origin().Number
		if i == changes-1 {
			number = next
		}
		change := drainingChange(f.at.Next(), fmt.Sprint("i-", i+2))
		f.publish(number, change)
		began := f.Now()
		knowing := func() int {
			count := 0
			for _, name := range f.Machines() {
				if !slices.Contains(except, name) && (f.KnowsChange(name, change) || f.holdsRevision(name, change.Revision)) {
					count++
				}
			}
			return count
		}
		f.c.Check(f.RunUntil(soon, func() bool { return float64(knowing()) >= shareOfNodes*float64(size) }), qt.IsTrue,
			qt.Commentf("change %d: %d of %d nodes know it after %s", i, knowing(), size, f.Now()-began))
		f.c.Check(f.RunUntil(changeKnown-(f.Now()-began), func() bool { return knowing() == size }), qt.IsTrue,
			qt.Commentf("change %d: %d of %d nodes know it after %s", i, knowing(), size, f.Now()-began))
		f.c.Check(f.RunUntil(configurationKnown-(f.Now()-began), func() bool { return f.allHoldConfiguration(number, except) }), qt.IsTrue,
			qt.Commentf("configuration %d is not in force after %s", number, f.Now()-began))
		f.Run(betweenTwo)
	}
}

func (f *restoredFleet) holdsRevision(name membership.NodeID, revision snapshot.Revision) bool {
	held, running := f.Held(name)
	return running && held.Revision >= revision
}

// backupNumber is the number of the configuration in the backup, lostRevisions how many revisions the backup is
// behind.
const (
	backupNumber  = 17
	lostRevisions = 60
)

// restoreCase restores the source of a fleet from a backup, and returns the machines that are cut
// off or suspended at its end.
type restoreCase func(f *restoredFleet) (except []membership.NodeID)

// takeSourceDown makes the source unavailable for a duration.
func (f *restoredFleet) takeSourceDown(duration time.Duration) {
	f.Platform.SetDown(true)
	f.Run(duration)
	f.Platform.SetDown(false)
}

// checkEpochEntered checks that all machines except some enter the epoch in time and keep their
// configuration.
func (f *restoredFleet) checkEpochEntered(except ...membership.NodeID) {
	const returns = 2500 * time.Millisecond
	f.c.Check(f.RunUntil(returns, func() bool { return f.allInEpoch(f.at.Epoch(), except) }), qt.IsTrue, qt.Commentf("not all nodes entered the epoch"))
	f.c.Check(f.allHoldConfiguration(numberInForce, except), qt.IsTrue, qt.Commentf("not all nodes kept the configuration"))
}

// inFirstZones selects the machines in the first half of the zones.
func inFirstZones(m *simulation.Machine) bool { return m.Zone == "zone-0" || m.Zone == "zone-1" }

// runRestoreCases runs each case in a fleet of each size.
func runRestoreCases(t *testing.T, cases map[string]restoreCase, sizes ...int) {
	for _, size := range sizes {
		for name, run := range cases {
			t.Run(fmt.Sprintf("%d nodes, %s", size, name), func(t *testing.T) {
				f := newRestoredFleet(qt.New(t), size)
				except := run(f)
				f.checkChangesAfterRestore(numberInForce+1, except)
				f.Run(5 * time.Second)
				f.c.Check(f.allHoldConfiguration(numberInForce+1, nil), qt.IsTrue, qt.Commentf("at the end"))
				f.c.Check(f.Violations(), qt.HasLen, 0)
			})
		}
	}
}

// TestRestoresInLargeFleets checks restores of the source from a backup without the last
// configurations, in many ways and together with other faults. No node goes back to a configuration
// with a lower number, and changes after the restore arrive as soon as at any other time.
func TestRestoresInLargeFleets(t *testing.T) {
	cases := map[string]restoreCase{
		"no revision is lost": func(f *restoredFleet) []membership.NodeID {
			f.restore(numberInForce, 0)
			f.checkEpochEntered()
			return nil
		},
		"revisions are lost": func(f *restoredFleet) []membership.NodeID {
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered()
			return nil
		},
		"source unavailable for 5 s": func(f *restoredFleet) []membership.NodeID {
			f.takeSourceDown(5 * time.Second)
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered()
			return nil
		},
		"all configurations are written again at once": func(f *restoredFleet) []membership.NodeID {
			f.takeSourceDown(time.Second)
			f.restore(backupNumber, lostRevisions)
			for number := uint64(backupNumber + 1); number <= numberInForce; number++ {
				f.publish(number)
			}
			f.checkEpochEntered()
			return nil
		},
		"all configurations are written again over 3 s": func(f *restoredFleet) []membership.NodeID {
			f.takeSourceDown(time.Second)
			f.restore(backupNumber, lostRevisions)
			for number := uint64(backupNumber + 1); number <= numberInForce; number++ {
				f.Run(time.Second)
				f.publish(number)
			}
			f.checkEpochEntered()
			return nil
		},
		"again, from an older backup": func(f *restoredFleet) []membership.NodeID {
			f.restore(backupNumber, lostRevisions)
			f.takeSourceDown(500 * time.Millisecond)
			f.restore(backupNumber-2, 20)
			f.checkEpochEntered()
			return nil
		},
		"again, after a configuration was written": func(f *restoredFleet) []membership.NodeID {
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered()
			f.publish(numberInForce - 1)
			f.Run(700 * time.Millisecond)
			f.restore(backupNumber, 0)
			f.checkEpochEntered()
			return nil
		},
		"half of the zones see it 3 s later": func(f *restoredFleet) []membership.NodeID {
			former := f.inForce
			f.Platform.SetBehavior(func(m *simulation.Machine) simulation.Behavior {
				if inFirstZones(m) {
					return simulation.Behavior{Stale: former}
				}
				return simulation.Behavior{}
			})
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered()
			f.Run(3 * time.Second)
			f.Platform.SetBehavior(nil)
			return nil
		},
		"processes restart": func(f *restoredFleet) []membership.NodeID {
			f.takeSourceDown(500 * time.Millisecond)
			f.restore(backupNumber, lostRevisions)
			for _, name := range f.Machines()[:4] {
				f.restart(name, 300*time.Millisecond)
			}
			f.Run(3 * time.Second) // nothing is required of a node for this time after its start
			f.checkEpochEntered()
			return nil
		},
		"one node is cut off meanwhile": func(f *restoredFleet) []membership.NodeID {
			alone := f.Machines()[5]
			f.Cut(between(func(m *simulation.Machine) bool { return m.Name == alone }))
			f.Platform.SetUnanswered(func(m *simulation.Machine) bool { return m.Name == alone })
			f.Run(time.Second)
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered(alone)
			f.Run(5 * time.Second)
			f.Cut(nil)
			f.Platform.SetUnanswered(nil)
			f.Run(3 * time.Second)
			f.checkEpochEntered()
			return nil
		},
		"some nodes are suspended meanwhile": func(f *restoredFleet) []membership.NodeID {
			asleep := f.Machines()[:3]
			for _, name := range asleep {
				f.Pause(name, 6*time.Second)
			}
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered(asleep...)
			return asleep
		},
	}
	runRestoreCases(t, cases, 13, 80)
	largest := make(map[string]restoreCase)
	for _, name := range []string{"source unavailable for 5 s", "again, from an older backup", "half of the zones see it 3 s later", "processes restart"} {
		largest[name] = cases[name]
	}
	runRestoreCases(t, largest, 300)
}

// TestRestoreWhileHalfOfTheZonesCannotRead checks the same while the source refuses the reads of
// half of the zones, or does not answer them.
func TestRestoreWhileHalfOfTheZonesCannotRead(t *testing.T) {
	runRestoreCases(t, map[string]restoreCase{
		"half of the zones are refused": func(f *restoredFleet) []membership.NodeID {
			f.Platform.SetBehavior(func(m *simulation.Machine) simulation.Behavior {
				return simulation.Behavior{Busy: inFirstZones(m), RetryAfter: 2 * time.Second}
			})
			f.Run(2 * time.Second)
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered()
			return nil
		},
		"half of the zones are not answered": func(f *restoredFleet) []membership.NodeID {
			f.Platform.SetUnanswered(inFirstZones)
			f.Run(4 * time.Second)
			f.restore(backupNumber, lostRevisions)
			f.checkEpochEntered()
			return nil
		},
	}, 13, 80, 300)
}
