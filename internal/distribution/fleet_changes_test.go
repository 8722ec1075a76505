package distribution_test

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// drainingChange returns a change that puts an instance into the draining state.
func drainingChange(revision snapshot.Revision, name string) snapshot.Change {
	return snapshot.InstanceChange(revision, snapshot.Instance{
		Name: name, Service: "a", Zone: "z", Address: "10.0.0.1:80", State: snapshot.InstanceDraining,
	})
}

// allLearned reports whether all running machines except those named have learned of a change.
func (s *scenario) allLearned(change snapshot.Change, except ...membership.NodeID) bool {
	return s.allBut(except, func(name membership.NodeID) bool { return s.KnowsChange(name, change) })
}

// TestFleetChangesReachAllNodes: any node may send a request to any instance, so all nodes must
// learn soon that an instance drains, also while no document is distributed.
func TestFleetChangesReachAllNodes(t *testing.T) {
	const floodTime, healTime = 300 * time.Millisecond, 5 * time.Second
	t.Run("over the links", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 1, Duplicates: 0.2}, nil)
		s.ReadChanges(machine(0).Name, drainingChange(7, "i"))
		s.c.Check(s.RunUntil(floodTime, func() bool { return s.allLearned(drainingChange(7, "i")) }), qt.IsTrue)
	})
	t.Run("an older change is ignored", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 2, Duplicates: 0.2}, nil)
		s.ReadChanges(machine(0).Name, snapshot.InstanceRemoval(8, "i"))
		s.Run(floodTime)
		frames, _ := s.Sent()
		s.ReadChanges(machine(0).Name, drainingChange(7, "i"))
		after, _ := s.Sent()
		s.c.Check(after, qt.Equals, frames)
		for _, name := range s.Machines() {
			for _, change := range s.Engine(name).FleetChanges() {
				s.c.Check(change.Revision, qt.Equals, snapshot.Revision(8))
			}
		}
	})
	t.Run("a change in the held document is not sent", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 8}, nil)
		s.Run(time.Second)
		held, _ := s.Held(machine(0).Name)
		s.ReadChanges(machine(0).Name, drainingChange(held.Revision, "i"))
		s.Run(floodTime)
		s.c.Check(s.KnowsChange(machine(0).Name, drainingChange(held.Revision, "i")), qt.IsFalse)
	})
	t.Run("two readers at the same time", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 3}, nil)
		s.ReadChanges(machine(0).Name, drainingChange(7, "i"), drainingChange(8, "j"))
		s.ReadChanges(machine(9).Name, drainingChange(8, "j"), drainingChange(9, "k"))
		s.c.Check(s.RunUntil(floodTime, func() bool {
			return s.allLearned(drainingChange(7, "i")) && s.allLearned(drainingChange(8, "j")) && s.allLearned(drainingChange(9, "k"))
		}), qt.IsTrue)
	})
	t.Run("a node starts", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 4}, nil)
		s.Kill(machine(3).Name)
		s.ReadChanges(machine(0).Name, drainingChange(7, "i"))
		s.Run(floodTime)
		s.Restart(machine(3).Name)
		s.c.Check(s.RunUntil(time.Second, func() bool { return s.allLearned(drainingChange(7, "i")) }), qt.IsTrue)
	})
	t.Run("a short partition heals", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 5}, nil)
		isolated := machine(7).Name
		s.Cut(between(func(m *simulation.Machine) bool { return m.Name == isolated }))
		s.ReadChanges(machine(0).Name, drainingChange(7, "i"))
		s.c.Check(s.RunUntil(floodTime, func() bool { return s.allLearned(drainingChange(7, "i"), isolated) }), qt.IsTrue)
		s.Cut(nil)
		s.c.Check(s.RunUntil(healTime, func() bool { return s.allLearned(drainingChange(7, "i")) }), qt.IsTrue)
	})
	t.Run("the reader ends", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 6}, nil)
		s.ReadChanges(machine(0).Name, drainingChange(7, "i"))
		s.Kill(machine(0).Name)
		s.c.Check(s.RunUntil(floodTime, func() bool { return s.allLearned(drainingChange(7, "i"), machine(0).Name) }), qt.IsTrue)
	})
}

// TestFleetChangesExpire: the changes remembered to avoid forwarding them twice are removed
// after a while, so that their number does not grow.
func TestFleetChangesExpire(t *testing.T) {
	s := newScenario(qt.New(t), simulation.Options{Seed: 1}, nil)
	s.ReadChanges(machine(0).Name, drainingChange(7, "i"))
	s.Run(time.Minute)
	s.ReadChanges(machine(0).Name, drainingChange(8, "j"))
	s.c.Check(s.Engine(machine(0).Name).FleetChanges(), qt.HasLen, 1)
}

// TestFleetChangesReachLargeFleets bounds the time until all nodes know of a change, in fleets of
// 13, 80 and 300 nodes in four zones with a latency of 2 ms.
func TestFleetChangesReachLargeFleets(t *testing.T) {
	for _, count := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := newSettledFleet(simulation.Options{Seed: 7, Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond}, count, 4)
			s := &scenario{c: c, Fleet: f}
			began := f.Now()
			_, before := f.Sent()
			f.ReadChanges(f.Machines()[0], drainingChange(7, "i"))
			c.Check(f.RunUntil(300*time.Millisecond, func() bool { return s.allLearned(drainingChange(7, "i")) }), qt.IsTrue)
			_, after := f.Sent()
			t.Logf("%d nodes: all learned of the change after %s, %d bytes per node", count, f.Now()-began, (after-before)/int64(count))
		})
	}
}

// largeDocument returns a document with an incompressible text of the given number of bytes.
func largeDocument(revision snapshot.Revision, size int) *snapshot.Document {
	random := rand.New(rand.NewPCG(uint64(revision), 1))
	text := make([]byte, size*3/4)
	for i := range text {
		text[i] = byte(random.Uint32())
	}
	made, err := snapshot.NewDocument(snapshot.Content{
		Revision: revision,
		Policies: []snapshot.Policy{{Name: "large", Program: base64.StdEncoding.EncodeToString(text)}},
	})
	if err != nil {
		panic(err) // the text is shorter than a program may be
	}
	return made
}

// TestFleetChangesOvertakeLargeDocuments: on links of 5 Mbit/s, while a document that takes 0.1 s per
// link changes every 0.3 s, all nodes learn of a change within 0.2 s of its read. That takes longer
// if frames are sent strictly in order.
func TestFleetChangesOvertakeLargeDocuments(t *testing.T) {
	const (
		linkRate      = 5_000_000 / 8
		documentBytes = 60 << 10
		interval      = 300 * time.Millisecond
		// transferTime is how long a document occupies the links after its publication.
		transferTime = 150 * time.Millisecond
		changes      = 24
		maxDelay     = 200 * time.Millisecond
		// firstRevision is above the revisions of all documents: a reader does not send changes
		// that its document contains.
		firstRevision = 1000
	)
	for _, count := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := newSettledFleet(simulation.Options{
				Seed: 7, Latency: time.Millisecond, AdoptDelay: 10 * time.Millisecond, LinkRate: linkRate, SourceIsCurrent: true,
				Timing: distribution.DefaultTiming().ForCurrentSource(),
			}, count, 4)
			s := &scenario{c: c, Fleet: f}
			random := rand.New(rand.NewPCG(1, 1))
			slowest := time.Duration(0)
			for i := range changes {
				f.Platform.Publish(largeDocument(snapshot.Revision(2+i), documentBytes), "")
				f.Run(time.Duration(random.Int64N(int64(transferTime))))
				change := drainingChange(snapshot.Revision(firstRevision+i), fmt.Sprint("i-", i))
				began := f.Now()
				f.ReadChanges(f.Machines()[random.IntN(count)], change)
				c.Check(f.RunUntil(2*time.Second, func() bool { return s.allLearned(change) }), qt.IsTrue)
				slowest = max(slowest, f.Now()-began)
				f.Run(interval - transferTime)
			}
			t.Logf("%d nodes: the slowest of %d changes took %s to reach all nodes", count, changes, slowest)
			c.Check(slowest <= maxDelay, qt.IsTrue, qt.Commentf("%s", slowest))
			c.Check(f.Violations(), qt.HasLen, 0)
		})
	}
}

// TestInvalidFleetChangeClosesLink: a node closes the link to a peer that sends an invalid change,
// and keeps the link to one that sends a valid change.
func TestInvalidFleetChangeClosesLink(t *testing.T) {
	valid, err := drainingChange(7, "i").Resource()
	qt.Assert(t, err, qt.IsNil)
	for name, row := range map[string]struct {
		resource snapshot.Resource
		closes   bool
	}{
		"a valid change": {valid, false},
		"another kind":   {snapshot.Resource{Key: snapshot.Key{Kind: snapshot.KindRoute, Name: "r"}}, true},
		"another name":   {snapshot.Resource{Key: snapshot.Key{Kind: snapshot.KindInstance, Name: "j"}, Body: valid.Body}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			learned := make(chan distribution.AgedChange, 1)
			node := startNodeWith(c, newFakePlatform(), "node", "zone", func(options *distribution.Options) {
				options.FleetChangesLearned = func(changes []distribution.AgedChange) { learned <- changes[0] }
			})
			connection := linkAs(c, node, "peer", "127.0.0.1:1")
			_, err := connection.Write(frame(c, &wire.FleetChanges{Changes: []wire.FleetChange{{Revision: 7, Resource: row.resource}}}))
			c.Assert(err, qt.IsNil)
			if !row.closes {
				c.Check((<-learned).Change, qt.DeepEquals, drainingChange(7, "i"))
				return
			}
			_, err = io.Copy(io.Discard, connection) // ends when the node closes the link
			c.Check(err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(learned, qt.HasLen, 0)
		})
	}
}
