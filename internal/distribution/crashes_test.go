package distribution_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/suspects"
)

// crash is the record of a crash with one request in progress.
func crash(f *simulation.Fleet, id suspects.CrashID) suspects.Crash {
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).Add(f.Now())
	return suspects.Crash{ID: id, Instance: "i", At: at, Requests: []suspects.Request{{Fingerprint: suspects.Of("GET", "h", fmt.Sprint(id), nil)}}}
}

// allBut reports whether something holds for all machines but those named.
func (s *scenario) allBut(except []membership.NodeID, holds func(name membership.NodeID) bool) bool {
	for _, name := range s.Machines() {
		if !slices.Contains(except, name) && !holds(name) {
			return false
		}
	}
	return true
}

// allKnow reports whether all machines but those named hold the record of a crash.
func (s *scenario) allKnow(id suspects.CrashID, except ...membership.NodeID) bool {
	return s.allBut(except, func(name membership.NodeID) bool { return s.KnowsCrash(name, id) })
}

// TestCrashesReachAllNodes: a request that crashes instances comes at any node, so that all
// have to know of a crash soon: at once over the links, those that start from their first
// peer, those that were cut off when the cut heals, those that were paused when they wake.
func TestCrashesReachAllNodes(t *testing.T) {
	const soon, heals = 300 * time.Millisecond, 15 * time.Second
	t.Run("over the links", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 1, Duplicates: 0.2}, nil)
		s.TellCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.c.Check(s.RunUntil(soon, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
	t.Run("a clearance follows", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 2, Duplicates: 0.2}, nil)
		found := crash(s.Fleet, 1)
		s.TellCrashes(machine(0).Name, found)
		s.Run(soon)
		found.Requests = []suspects.Request{{Fingerprint: found.Requests[0].Fingerprint, Cleared: true}}
		s.TellCrashes(machine(5).Name, found)
		s.Run(soon)
		for _, name := range s.Machines() {
			s.c.Check(s.Engine(name).Crashes()[0].Requests[0].Cleared, qt.IsTrue, qt.Commentf("%s", name))
		}
	})
	t.Run("a node starts", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 3}, nil)
		s.Kill(machine(3).Name)
		s.TellCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.Run(soon)
		s.Restart(machine(3).Name)
		s.c.Check(s.RunUntil(time.Second, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
	t.Run("a cut heals", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 4}, nil)
		alone := machine(7).Name
		s.Cut(between(func(m *simulation.Machine) bool { return m.Name == alone }))
		s.Run(time.Second)
		s.TellCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.TellCrashes(alone, crash(s.Fleet, 2))
		s.c.Check(s.RunUntil(heals, func() bool { return s.allKnow(1, alone) }), qt.IsTrue)
		s.c.Check(s.KnowsCrash(alone, 1), qt.IsFalse)
		s.Cut(nil)
		s.c.Check(s.RunUntil(heals, func() bool { return s.allKnow(1) && s.allKnow(2) }), qt.IsTrue)
	})
	t.Run("a node is paused", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 5}, nil)
		s.Pause(machine(2).Name, 5*time.Second)
		s.TellCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.Run(5 * time.Second)
		s.c.Check(s.RunUntil(heals, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
	t.Run("the finder ends", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 6}, nil)
		s.TellCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.Run(soon)
		for i := range machines / 2 {
			s.Kill(machine(i).Name)
		}
		s.Run(time.Second)
		for i := range machines / 2 {
			s.Restart(machine(i).Name)
		}
		s.c.Check(s.RunUntil(heals, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
}

// settledFleet is a fleet of so many nodes in so many zones some time after its start.
func settledFleet(options simulation.Options, nodes, zones int) *simulation.Fleet {
	f := simulation.New(options)
	f.Platform.Publish(document(1), "")
	for i := range nodes {
		f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%03d", i)), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, nil)
	}
	f.Run(20 * time.Second)
	return f
}

// TestCrashesReachLargeFleets measures how long it takes until all nodes know of a crash, at
// 13, 80 and 300 nodes of three zones with 2 ms between them: 3, 8 and 13 ms.
func TestCrashesReachLargeFleets(t *testing.T) {
	for _, count := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := settledFleet(simulation.Options{Seed: 7, Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond}, count, 3)
			s := &scenario{c: c, Fleet: f}
			began := f.Now()
			f.TellCrashes(f.Machines()[0], crash(f, 1))
			c.Check(f.RunUntil(300*time.Millisecond, func() bool { return s.allKnow(1) }), qt.IsTrue)
			t.Logf("%d nodes: all knew after %s", count, f.Now()-began)
		})
	}
}
