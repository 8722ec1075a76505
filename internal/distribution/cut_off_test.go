package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// cutOffWithin is the required 2 s within which a change is in force at a machine whose path to the
// source is whole, whatever links it has to peers, less a margin for real machines.
const cutOffWithin = 1500 * time.Millisecond

// changesInForce measures how long changes take to be in force at each machine.
type changesInForce struct {
	fleet     *freshnessFleet
	published map[snapshot.Version]time.Duration
	awaited   map[membership.NodeID]map[snapshot.Version]bool
	worst     time.Duration
	worstAt   membership.NodeID
}

func watchChanges(f *freshnessFleet) *changesInForce {
	w := &changesInForce{fleet: f, published: make(map[snapshot.Version]time.Duration), awaited: make(map[membership.NodeID]map[snapshot.Version]bool)}
	f.OnAdopt = w.adopted
	return w
}

func (w *changesInForce) publish() {
	w.fleet.publish()
	version := w.fleet.latest.Version()
	w.published[version] = w.fleet.Now()
	for _, name := range w.fleet.Machines() {
		if w.awaited[name] == nil {
			w.awaited[name] = make(map[snapshot.Version]bool)
		}
		w.awaited[name][version] = true
	}
}

// adopted records the delay of all awaited changes that the adopted version contains.
func (w *changesInForce) adopted(name membership.NodeID, adopted snapshot.Version) {
	for version := range w.awaited[name] {
		if version.Revision <= adopted.Revision {
			w.record(name, w.fleet.Now()-w.published[version])
			delete(w.awaited[name], version)
		}
	}
}

func (w *changesInForce) record(name membership.NodeID, took time.Duration) {
	if took > w.worst {
		w.worst, w.worstAt = took, name
	}
}

// check counts the changes that are still not in force as if they came into force now, and checks the
// longest time that a change took.
func (w *changesInForce) check(c *qt.C, seed uint64) {
	for name, versions := range w.awaited {
		for version := range versions {
			w.record(name, w.fleet.Now()-w.published[version])
		}
	}
	c.Check(w.worst <= cutOffWithin, qt.IsTrue, qt.Commentf("seed %d: %s at %s", seed, w.worst, w.worstAt))
	c.Check(w.fleet.Violations(), qt.HasLen, 0)
}

// cutPattern draws which machines lose the links to each other: those of different groups.
type cutPattern func(f *freshnessFleet, random *rand.Rand) (groupOf func(*simulation.Machine) string)

const connected = "connected"

// someCutOff cuts off a number of random machines: each by itself, or all of them together.
func someCutOff(count func(nodes int) int, together bool) cutPattern {
	return func(f *freshnessFleet, random *rand.Rand) func(*simulation.Machine) string {
		groups := make(map[membership.NodeID]string)
		names := f.Machines()
		for _, i := range random.Perm(len(names))[:count(len(names))] {
			groups[names[i]] = string(names[i])
			if together {
				groups[names[i]] = "island"
			}
		}
		return func(m *simulation.Machine) string {
			if group := groups[m.Name]; group != "" {
				return group
			}
			return connected
		}
	}
}

func cutPatterns() map[string]cutPattern {
	one := func(int) int { return 1 }
	sixth := func(nodes int) int { return max(2, nodes/6) }
	half := func(nodes int) int { return nodes / 2 }
	return map[string]cutPattern{
		"one node":            someCutOff(one, false),
		"a sixth, each alone": someCutOff(sixth, false),
		"a sixth together":    someCutOff(sixth, true),
		"half from half":      someCutOff(half, true),
		"all, each alone":     someCutOff(func(nodes int) int { return nodes }, false),
		"a zone from others": func(*freshnessFleet, *rand.Rand) func(*simulation.Machine) string {
			return func(m *simulation.Machine) string { return m.Zone }
		},
	}
}

// TestChangesInForceAtNodesCutOffFromPeers checks that changes are in force in time at nodes that lose
// the links to their peers, silently, while their own path to the source is whole.
func TestChangesInForceAtNodesCutOffFromPeers(t *testing.T) {
	const (
		changes   = 3
		cutFor    = 15 * time.Second
		maxBefore = 3 * time.Second
	)
	for nodes, seeds := range map[int]uint64{13: 6, 80: 4, 300: 1} {
		for name, pattern := range cutPatterns() {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, name), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for seed := range seeds {
					f := newFreshnessFleet(nodes, seed)
					random := rand.New(rand.NewPCG(seed, 3))
					groupOf := pattern(f, random)
					watch := watchChanges(f)
					f.Cut(func(a, b *simulation.Machine) bool { return groupOf(a) != groupOf(b) })
					cutAt := f.Now()
					for range changes {
						f.Run(time.Duration(random.Int64N(int64(maxBefore))))
						watch.publish()
					}
					f.Run(cutFor - (f.Now() - cutAt))
					f.Cut(nil)
					f.Run(2 * time.Second)
					watch.publish()
					f.Run(5 * time.Second)
					watch.check(c, seed)
				}
			})
		}
	}
}

// TestChangesInForceDuringCutsInWaves checks the same while every 0.3 s further machines are cut off for some
// seconds, so that a cut hits links, suspicions and redial delays that are left from the ones before.
func TestChangesInForceDuringCutsInWaves(t *testing.T) {
	const (
		waves    = 40
		interval = 300 * time.Millisecond
		longest  = 6 * time.Second
	)
	for nodes, seeds := range map[int]uint64{13: 6, 80: 4, 300: 1} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			for seed := range seeds {
				f := newFreshnessFleet(nodes, seed)
				random := rand.New(rand.NewPCG(seed, 4))
				watch := watchChanges(f)
				cutUntil := make(map[membership.NodeID]time.Duration)
				isCut := func(m *simulation.Machine) bool { return f.Now() < cutUntil[m.Name] }
				for wave := range waves {
					for _, i := range random.Perm(nodes)[:max(1, nodes/12)] {
						cutUntil[f.Machines()[i]] = f.Now() + time.Duration(random.Int64N(int64(longest)))
					}
					f.Cut(func(from, to *simulation.Machine) bool { return isCut(from) || isCut(to) })
					if wave%4 == 0 {
						watch.publish()
					}
					f.Run(interval)
				}
				f.Cut(nil)
				f.Run(5 * time.Second)
				watch.check(c, seed)
			}
		})
	}
}

// TestChangesInForceDuringOneWayCuts checks the same while a sixth of the machines hears nothing from
// peers, or reaches none, in one direction only.
func TestChangesInForceDuringOneWayCuts(t *testing.T) {
	for nodes, seeds := range map[int]uint64{13: 6, 80: 4, 300: 1} {
		for _, deaf := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d nodes, deaf %t", nodes, deaf), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for seed := range seeds {
					f := newFreshnessFleet(nodes, seed)
					random := rand.New(rand.NewPCG(seed, 5))
					groupOf := cutPatterns()["a sixth, each alone"](f, random)
					watch := watchChanges(f)
					f.Cut(func(from, to *simulation.Machine) bool {
						affected := from
						if deaf {
							affected = to
						}
						return groupOf(affected) != connected
					})
					for range 3 {
						f.Run(time.Duration(random.Int64N(int64(3 * time.Second))))
						watch.publish()
					}
					f.Run(10 * time.Second)
					watch.check(c, seed)
				}
			})
		}
	}
}

// TestChangesInForceAtIslandWhileSourceRefusesSome checks the same at a sixth of the fleet that is cut off
// together, while the source refuses a third of its machines.
func TestChangesInForceAtIslandWhileSourceRefusesSome(t *testing.T) {
	for nodes, seeds := range map[int]uint64{13: 6, 80: 4} {
		for _, fault := range []string{"busy", "reset"} {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, fault), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				for seed := range seeds {
					f := newFreshnessFleet(nodes, seed)
					random := rand.New(rand.NewPCG(seed, 6))
					groupOf := cutPatterns()["a sixth together"](f, random)
					refused := make(map[membership.NodeID]bool)
					island := 0
					for _, name := range f.Machines() {
						if groupOf(f.Machine(name)) != connected {
							refused[name] = island%3 == 0
							island++
						}
					}
					behavior := sourceFaults()[fault]
					f.Platform.SetBehavior(func(m *simulation.Machine) simulation.Behavior {
						if refused[m.Name] {
							return behavior
						}
						return simulation.Behavior{}
					})
					watch := watchChanges(f)
					f.Cut(func(from, to *simulation.Machine) bool { return groupOf(from) != groupOf(to) })
					for range 3 {
						f.Run(time.Duration(random.Int64N(int64(3 * time.Second))))
						watch.publish()
					}
					f.Run(5 * time.Second)
					watch.check(c, seed)
				}
			})
		}
	}
}

// TestNodeStartsCutOffFromPeers checks that a node which starts while it reaches the source and no peer gets a
// version, whatever its rank is among the nodes that the source lists.
func TestNodeStartsCutOffFromPeers(t *testing.T) {
	// readyWithin is the time for one dial of each peer and a read of the source.
	const readyWithin = 4 * time.Second
	for _, nodes := range []int{13, 80} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(8) {
				f := newFreshnessFleet(nodes, seed)
				alone := f.Machines()[seed]
				f.Kill(alone)
				f.Cut(func(from, to *simulation.Machine) bool { return from.Name == alone || to.Name == alone })
				f.Restart(alone)
				f.publish()
				inForce := func() bool {
					held, _ := f.Held(alone)
					return held == f.latest.Version()
				}
				c.Check(f.RunUntil(readyWithin, inForce), qt.IsTrue, qt.Commentf("seed %d", seed))
			}
		})
	}
}
