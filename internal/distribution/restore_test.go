package distribution_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// numberedDocument returns a document whose configuration has the given number.
func numberedDocument(revision snapshot.Revision, number uint64, instances ...string) *snapshot.Document {
	content := snapshot.Content{
		Revision: revision, Origin: snapshot.Origin{Number: number, Epoch: revision.Epoch()},
		Services: []snapshot.Service{{Name: "a", Slots: int(number)}},
	}
	for _, name := range instances {
		content.Instances = append(content.Instances, snapshot.Instance{Name: name, Service: "a", Address: "10.0.0.1:80", State: snapshot.InstanceReady})
	}
	result, err := snapshot.NewDocument(content)
	if err != nil {
		panic(err) // the content is fixed by the test
	}
	return result
}

// buildWithoutOrigins simulates the engine of a build that does not know the origins of
// configurations.
type buildWithoutOrigins struct{ engine *distribution.Engine }

// NextWake implements simulation.Participant.
func (b buildWithoutOrigins) NextWake() time.Time { return b.engine.NextWake() }

// Handle implements simulation.Participant.
func (b buildWithoutOrigins) Handle(now time.Time, event distribution.Event) []distribution.Action {
	actions := b.engine.Handle(now, event)
	for i, action := range actions {
		if send, ok := action.(distribution.Send); ok && send.Type == wire.TypeHello {
			send.Frame = withChangedHello(send.Frame, func(hello *wire.Hello) {
				if hello.Purpose.AcceptsOrigins() {
					hello.Purpose = wire.PurposeLinkWithChanges
				}
			})
			actions[i] = send
		}
	}
	return actions
}

// TestConfigurationIsKeptAcrossRestore checks that the fleet keeps its configuration when the source
// is restored from a backup with an older one. All nodes, including one that starts meanwhile,
// adopt the instances from the backup at once. Later configurations reach all nodes, and no node
// goes back to an older version.
func TestConfigurationIsKeptAcrossRestore(t *testing.T) {
	const (
		zones  = 4
		within = 1500 * time.Millisecond
	)
	for _, size := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			c := qt.New(t)
			f := simulation.New(simulation.Options{
				Seed: uint64(size), Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
				Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
			})
			f.Platform.Publish(numberedDocument(snapshot.NewRevision(1, 10), 1, "i-1"), "")
			for i := range size {
				f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%03d", i)), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, nil)
			}
			holds := func(version snapshot.Version) func() bool { return func() bool { return f.AllHold(version) } }
			c.Assert(f.RunUntil(10*time.Second, holds(f.Platform.Current())), qt.IsTrue)
			f.Run(10 * time.Second)
			f.Platform.Publish(numberedDocument(snapshot.NewRevision(1, 90), 20, "i-1"), "")
			c.Assert(f.RunUntil(within, holds(f.Platform.Current())), qt.IsTrue)

			f.Platform.SetDown(true)
			f.Run(500 * time.Millisecond)
			f.Platform.SetDown(false)
			kept, err := f.Platform.Restore(numberedDocument(snapshot.NewRevision(2, 30), 17, "i-1", "i-2"))
			c.Assert(err, qt.IsNil)
			c.Assert(kept.Version().Revision.KeepsConfiguration(), qt.IsTrue)
			c.Assert(f.RunUntil(5*time.Second, holds(kept.Version())), qt.IsTrue, qt.Commentf("the restored source"))
			f.Kill(f.Machines()[1])
			f.Run(100 * time.Millisecond)
			f.Restart(f.Machines()[1])
			c.Check(f.RunUntil(5*time.Second, holds(kept.Version())), qt.IsTrue, qt.Commentf("a node that starts"))
			f.Platform.Publish(numberedDocument(snapshot.NewRevision(2, 31), 20, "i-1", "i-2"), "")
			c.Check(f.RunUntil(within, holds(f.Platform.Current())), qt.IsTrue, qt.Commentf("the configuration written again"))
			f.Platform.Publish(numberedDocument(snapshot.NewRevision(2, 32), 21, "i-2"), "")
			c.Check(f.RunUntil(within, holds(f.Platform.Current())), qt.IsTrue, qt.Commentf("the next configuration"))
			c.Check(f.Violations(), qt.HasLen, 0)
		})
	}
}

// TestRestoreDuringUpgradeFromBuildWithoutOrigins checks a restore while half of the nodes run a
// build that does not know the Origin of a document (which configuration of the operators it has).
// Those nodes can't tell that the configuration in the backup is older, and adopt it. They stay in
// the fleet, and the next configuration reaches all nodes.
func TestRestoreDuringUpgradeFromBuildWithoutOrigins(t *testing.T) {
	const (
		nodes, zones = 12, 3
		within       = 5 * time.Second
	)
	c := qt.New(t)
	f := simulation.New(simulation.Options{
		Seed: 1, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
		Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
	})
	f.Platform.Publish(numberedDocument(snapshot.NewRevision(1, 90), 20, "i-1"), "")
	for i := range nodes {
		var wrap func(*distribution.Engine) simulation.Participant
		if i%2 == 1 {
			wrap = func(engine *distribution.Engine) simulation.Participant { return buildWithoutOrigins{engine} }
		}
		f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%02d", i)), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, wrap)
	}
	allHold := func() bool { return f.AllHold(f.Platform.Current()) }
	c.Assert(f.RunUntil(within, allHold), qt.IsTrue)
	f.Run(10 * time.Second)
	_, err := f.Platform.Restore(numberedDocument(snapshot.NewRevision(2, 30), 17, "i-1", "i-2"))
	c.Assert(err, qt.IsNil)
	f.Run(within)
	f.Platform.Publish(numberedDocument(snapshot.NewRevision(2, 31), 20, "i-1", "i-2"), "")
	c.Check(f.RunUntil(within, allHold), qt.IsTrue)
	c.Check(f.Violations(), qt.HasLen, 0)
}

// TestUpgradeFromReadersWithoutEpochs checks that changes reach all nodes during an upgrade from a
// build without epochs. Readers of that build omit the epoch from revisions, which then count as
// older than those from a reader of the new build. If the only reader with epochs left reading to
// them, the fleet would get no more changes.
func TestUpgradeFromReadersWithoutEpochs(t *testing.T) {
	const (
		nodes, zones = 12, 3
		within       = 5 * time.Second
		seeds        = 8
	)
	for seed := range uint64(seeds) {
		c := qt.New(t)
		f := simulation.New(simulation.Options{
			Seed: seed, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
			Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond,
		})
		isFormer := func(i int) bool { return i%4 != 0 }
		former := make(map[membership.NodeID]bool)
		publish := func(number uint64) {
			f.Platform.AddPublished(numberedDocument(snapshot.NewRevision(0, number), number, "i-1"))
			f.Platform.SetBehavior(func(m *simulation.Machine) simulation.Behavior {
				if former[m.Name] {
					return simulation.Behavior{Stale: numberedDocument(snapshot.NewRevision(0, number), number, "i-1")}
				}
				return simulation.Behavior{}
			})
			f.Platform.Publish(numberedDocument(snapshot.NewRevision(1, number), number, "i-1"), "")
		}
		publish(1)
		for i := range nodes {
			name := membership.NodeID(fmt.Sprintf("node-%d-%02d", seed, i))
			var wrap func(*distribution.Engine) simulation.Participant
			if former[name] = isFormer(i); former[name] {
				wrap = func(engine *distribution.Engine) simulation.Participant { return buildWithoutOrigins{engine} }
			}
			f.Start(simulation.Machine{Name: name, Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, wrap)
		}
		holdContent := func() bool {
			for _, name := range f.Machines() {
				if held, known := f.Held(name); !known || held.Hash != f.Platform.Current().Hash {
					return false
				}
			}
			return true
		}
		c.Assert(f.RunUntil(within, holdContent), qt.IsTrue, qt.Commentf("seed %d: the start", seed))
		f.Run(10 * time.Second)
		for _, name := range f.Machines() { // nodes of the new build read meanwhile
			if former[name] {
				f.Kill(name)
			}
		}
		f.Run(5 * time.Second)
		for _, name := range f.Machines() {
			if former[name] {
				f.Restart(name)
			}
		}
		f.Run(20 * time.Second)
		for number := uint64(2); number < 5; number++ {
			publish(number)
			c.Check(f.RunUntil(within, holdContent), qt.IsTrue, qt.Commentf("seed %d: change %d", seed, number))
		}
	}
}
