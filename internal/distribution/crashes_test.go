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

// crash returns the record of a crash with one request in progress.
func crash(f *simulation.Fleet, id suspects.CrashID) suspects.Crash {
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).Add(f.Now())
	return suspects.Crash{ID: id, Instance: "i", At: at, Requests: []suspects.Request{{Fingerprint: suspects.NewFingerprint("GET", "h", fmt.Sprint(id), nil)}}}
}

// allBut reports whether a condition holds for all machines except those named.
func (s *scenario) allBut(except []membership.NodeID, holds func(name membership.NodeID) bool) bool {
	for _, name := range s.Machines() {
		if !slices.Contains(except, name) && !holds(name) {
			return false
		}
	}
	return true
}

// allKnow reports whether all machines except those named hold the record of a crash.
func (s *scenario) allKnow(id suspects.CrashID, except ...membership.NodeID) bool {
	return s.allBut(except, func(name membership.NodeID) bool { return s.KnowsCrash(name, id) })
}

// TestCrashesReachAllNodes: a request that crashes instances may arrive at any node, so all
// nodes must learn of a crash soon: over their links, from the first peer after a start, when
// a partition heals, or when a paused node resumes.
func TestCrashesReachAllNodes(t *testing.T) {
	const floodTime, healTime = 300 * time.Millisecond, 15 * time.Second
	t.Run("over the links", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 1, Duplicates: 0.2}, nil)
		s.DetectCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.c.Check(s.RunUntil(floodTime, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
	t.Run("a request is cleared later", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 2, Duplicates: 0.2}, nil)
		found := crash(s.Fleet, 1)
		s.DetectCrashes(machine(0).Name, found)
		s.Run(floodTime)
		found.Requests = []suspects.Request{{Fingerprint: found.Requests[0].Fingerprint, Cleared: true}}
		s.DetectCrashes(machine(5).Name, found)
		s.Run(floodTime)
		for _, name := range s.Machines() {
			s.c.Check(s.Engine(name).Crashes()[0].Requests[0].Cleared, qt.IsTrue, qt.Commentf("%s", name))
		}
	})
	t.Run("a node starts", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 3}, nil)
		s.Kill(machine(3).Name)
		s.DetectCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.Run(floodTime)
		s.Restart(machine(3).Name)
		s.c.Check(s.RunUntil(time.Second, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
	t.Run("a partition heals", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 4}, nil)
		isolated := machine(7).Name
		s.Cut(between(func(m *simulation.Machine) bool { return m.Name == isolated }))
		s.Run(time.Second)
		s.DetectCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.DetectCrashes(isolated, crash(s.Fleet, 2))
		s.c.Check(s.RunUntil(healTime, func() bool { return s.allKnow(1, isolated) }), qt.IsTrue)
		s.c.Check(s.KnowsCrash(isolated, 1), qt.IsFalse)
		s.Cut(nil)
		s.c.Check(s.RunUntil(healTime, func() bool { return s.allKnow(1) && s.allKnow(2) }), qt.IsTrue)
	})
	t.Run("a node is paused", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 5}, nil)
		s.Pause(machine(2).Name, 5*time.Second)
		s.DetectCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.Run(5 * time.Second)
		s.c.Check(s.RunUntil(healTime, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
	t.Run("the reporting node ends", func(t *testing.T) {
		s := newScenario(qt.New(t), simulation.Options{Seed: 6}, nil)
		s.DetectCrashes(machine(0).Name, crash(s.Fleet, 1))
		s.Run(floodTime)
		for i := range machines / 2 {
			s.Kill(machine(i).Name)
		}
		s.Run(time.Second)
		for i := range machines / 2 {
			s.Restart(machine(i).Name)
		}
		s.c.Check(s.RunUntil(healTime, func() bool { return s.allKnow(1) }), qt.IsTrue)
	})
}

// newSettledFleet returns a fleet with the given numbers of nodes and zones, 20 s after its start.
func newSettledFleet(options simulation.Options, nodes, zones int) *simulation.Fleet {
	f := simulation.New(options)
	f.Platform.Publish(document(1), "")
	for i := range nodes {
		f.Start(simulation.Machine{Name: membership.NodeID(fmt.Sprintf("node-%03d", i)), Zone: fmt.Sprintf("zone-%d", i%zones), Region: "r"}, nil)
	}
	f.Run(20 * time.Second)
	return f
}

// TestCrashesReachLargeFleets bounds the time until all nodes know of a crash, in fleets of 13,
// 80 and 300 nodes in three zones with a latency of 2 ms.
func TestCrashesReachLargeFleets(t *testing.T) {
	for _, count := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := newSettledFleet(simulation.Options{Seed: 7, Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond}, count, 3)
			s := &scenario{c: c, Fleet: f}
			began := f.Now()
			f.DetectCrashes(f.Machines()[0], crash(f, 1))
			c.Check(f.RunUntil(300*time.Millisecond, func() bool { return s.allKnow(1) }), qt.IsTrue)
			t.Logf("%d nodes: all learned of the crash after %s", count, f.Now()-began)
		})
	}
}
