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

// leaving is the change by which an instance says that it leaves.
func leaving(revision snapshot.Revision, name string) snapshot.Change {
	return snapshot.InstanceChange(revision, snapshot.Instance{
		Name: name, Service: "a", Zone: "z", Address: "10.0.0.1:80", State: snapshot.InstanceDraining,
	})
}

// allLearned reports whether all running machines but those named have learned of a change.
func (s *scenario) allLearned(change snapshot.Change, except ...membership.NodeID) bool {
	return s.allBut(except, func(name membership.NodeID) bool { return s.KnowsChange(name, change) })
}

// TestFleetChangesReachAllNodes: requests start at any node and end at any instance, so that
// all nodes have to know soon that an instance leaves, also while no document moves at all.
func TestFleetChangesReachAllNodes(t *testing.T) {
	const soon, heals = 300 * time.Millisecond, 5 * time.Second
	t.Run("over the links", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 1, Duplicates: 0.2}, nil)
		s.ReadChanges(machine(0).Name, leaving(7, "i"))
		s.c.Check(s.RunUntil(soon, func() bool { return s.allLearned(leaving(7, "i")) }), qt.IsTrue)
	})
	t.Run("an older one changes nothing", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 2, Duplicates: 0.2}, nil)
		s.ReadChanges(machine(0).Name, snapshot.InstanceGone(8, "i"))
		s.Run(soon)
		frames, _ := s.Sent()
		s.ReadChanges(machine(0).Name, leaving(7, "i"))
		after, _ := s.Sent()
		s.c.Check(after, qt.Equals, frames)
		for _, name := range s.Machines() {
			for _, change := range s.Engine(name).FleetChanges() {
				s.c.Check(change.Revision, qt.Equals, snapshot.Revision(8))
			}
		}
	})
	t.Run("one that the document holds is not told", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 8}, nil)
		s.Run(time.Second)
		held, _ := s.Held(machine(0).Name)
		s.ReadChanges(machine(0).Name, leaving(held.Revision, "i"))
		s.Run(soon)
		s.c.Check(s.KnowsChange(machine(0).Name, leaving(held.Revision, "i")), qt.IsFalse)
	})
	t.Run("two readers at once", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 3}, nil)
		s.ReadChanges(machine(0).Name, leaving(7, "i"), leaving(8, "j"))
		s.ReadChanges(machine(9).Name, leaving(8, "j"), leaving(9, "k"))
		s.c.Check(s.RunUntil(soon, func() bool {
			return s.allLearned(leaving(7, "i")) && s.allLearned(leaving(8, "j")) && s.allLearned(leaving(9, "k"))
		}), qt.IsTrue)
	})
	t.Run("a node starts", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 4}, nil)
		s.Kill(machine(3).Name)
		s.ReadChanges(machine(0).Name, leaving(7, "i"))
		s.Run(soon)
		s.Restart(machine(3).Name)
		s.c.Check(s.RunUntil(time.Second, func() bool { return s.allLearned(leaving(7, "i")) }), qt.IsTrue)
	})
	t.Run("a short cut heals", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 5}, nil)
		alone := machine(7).Name
		s.Cut(between(func(m *simulation.Machine) bool { return m.Name == alone }))
		s.ReadChanges(machine(0).Name, leaving(7, "i"))
		s.c.Check(s.RunUntil(soon, func() bool { return s.allLearned(leaving(7, "i"), alone) }), qt.IsTrue)
		s.Cut(nil)
		s.c.Check(s.RunUntil(heals, func() bool { return s.allLearned(leaving(7, "i")) }), qt.IsTrue)
	})
	t.Run("the reader ends", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 6}, nil)
		s.ReadChanges(machine(0).Name, leaving(7, "i"))
		s.Kill(machine(0).Name)
		s.c.Check(s.RunUntil(soon, func() bool { return s.allLearned(leaving(7, "i"), machine(0).Name) }), qt.IsTrue)
	})
}

// TestFleetChangesAreForgotten: what is remembered to be passed on once does not grow.
func TestFleetChangesAreForgotten(t *testing.T) {
	s := newScenario(qt.New(t), simulation.Options{Seed: 1}, nil)
	s.ReadChanges(machine(0).Name, leaving(7, "i"))
	s.Run(time.Minute)
	s.ReadChanges(machine(0).Name, leaving(8, "j"))
	s.c.Check(s.Engine(machine(0).Name).FleetChanges(), qt.HasLen, 1)
}

// TestFleetChangesReachLargeFleets measures how long it takes until all nodes know of a change,
// at 13, 80 and 300 nodes of four zones with 2 ms between them.
func TestFleetChangesReachLargeFleets(t *testing.T) {
	for _, count := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := settledFleet(simulation.Options{Seed: 7, Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond}, count, 4)
			s := &scenario{c: c, Fleet: f}
			began := f.Now()
			_, before := f.Sent()
			f.ReadChanges(f.Machines()[0], leaving(7, "i"))
			c.Check(f.RunUntil(300*time.Millisecond, func() bool { return s.allLearned(leaving(7, "i")) }), qt.IsTrue)
			_, after := f.Sent()
			t.Logf("%d nodes: all knew after %s, %d bytes a node", count, f.Now()-began, (after-before)/int64(count))
		})
	}
}

// largeDocument carries a text of so many bytes that compression does not shorten.
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

// TestFleetChangesPassLargeDocuments: on links of 5 Mbit/s, while a document that takes each of
// them 0.1 s changes each 0.3 s, all nodes know of a change within 0.2 s of its reading: 0.05,
// 0.06 and 0.09 s for 13, 80 and 300 nodes; 0.21, 0.45 and 0.53 s where frames go one after the
// other.
func TestFleetChangesPassLargeDocuments(t *testing.T) {
	const (
		linkRate      = 5_000_000 / 8
		documentBytes = 60 << 10
		interval      = 300 * time.Millisecond
		// onItsWay is the time after its publication in which a document fills the links.
		onItsWay = 150 * time.Millisecond
		changes  = 24
		known    = 200 * time.Millisecond
		// ahead is above the revisions of all documents: a reader tells of nothing that its
		// document holds.
		ahead = 1000
	)
	for _, count := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := settledFleet(simulation.Options{
				Seed: 7, Latency: time.Millisecond, AdoptDelay: 10 * time.Millisecond, LinkRate: linkRate, SourceIsCurrent: true,
				Timing: distribution.DefaultTiming().ForCurrentSource(),
			}, count, 4)
			s := &scenario{c: c, Fleet: f}
			random := rand.New(rand.NewPCG(1, 1))
			slowest := time.Duration(0)
			for i := range changes {
				f.Platform.Publish(largeDocument(snapshot.Revision(2+i), documentBytes), "")
				f.Run(time.Duration(random.Int64N(int64(onItsWay))))
				change := leaving(snapshot.Revision(ahead+i), fmt.Sprint("i-", i))
				began := f.Now()
				f.ReadChanges(f.Machines()[random.IntN(count)], change)
				c.Check(f.RunUntil(2*time.Second, func() bool { return s.allLearned(change) }), qt.IsTrue)
				slowest = max(slowest, f.Now()-began)
				f.Run(interval - onItsWay)
			}
			t.Logf("%d nodes: the slowest of %d changes was known after %s", count, changes, slowest)
			c.Check(slowest <= known, qt.IsTrue, qt.Commentf("%s", slowest))
			c.Check(f.Broken(), qt.HasLen, 0)
		})
	}
}

// TestWrongFleetChangeClosesTheLink: a peer that sends what cannot be a change breaks the
// protocol, and its link ends; one that sends a change is heard on.
func TestWrongFleetChangeClosesTheLink(t *testing.T) {
	right, err := leaving(7, "i").Resource()
	qt.Assert(t, err, qt.IsNil)
	for name, row := range map[string]struct {
		resource snapshot.Resource
		closes   bool
	}{
		"a change":        {right, false},
		"of another kind": {snapshot.Resource{Key: snapshot.Key{Kind: snapshot.KindRoute, Name: "r"}}, true},
		"of another name": {snapshot.Resource{Key: snapshot.Key{Kind: snapshot.KindInstance, Name: "j"}, Body: right.Body}, true},
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
				c.Check((<-learned).Change, qt.DeepEquals, leaving(7, "i"))
				return
			}
			_, err = io.Copy(io.Discard, connection) // ends when the node closes the link
			c.Check(err == nil || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(learned, qt.HasLen, 0)
		})
	}
}
