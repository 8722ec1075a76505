package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestInaccurateList drives a table through the ways in which the platform's list
// can be wrong for a while. Each step runs at the given second.
func TestInaccurateList(t *testing.T) {
	old := record("a", started(-time.Hour), 3)
	young := record("a", started(0), 1)
	successor := record("a", started(10*time.Second), 1)
	moved := successor
	moved.PeerAddress = "elsewhere"
	live, leaving := listed("a", ListedLive), listed("a", ListedLeaving)
	type step struct {
		at  time.Duration
		act func(*simulation)
	}
	receive := func(r Record) func(*simulation) { return func(s *simulation) { s.receive(r) } }
	mergeList := func(l ...ListedMember) func(*simulation) { return func(s *simulation) { s.mergeList(l...) } }
	suspect := func(r Record) func(*simulation) { return func(s *simulation) { s.suspect(r) } }
	takesWork := func(want bool) func(*simulation) {
		return func(s *simulation) {
			qt.Assert(t, s.takesWork("a"), qt.Equals, want, qt.Commentf("at %v", s.clock.elapsed))
		}
	}
	known := func(want bool) func(*simulation) {
		return func(s *simulation) {
			qt.Assert(t, s.knows("a"), qt.Equals, want, qt.Commentf("at %v", s.clock.elapsed))
		}
	}
	cases := map[string][]step{
		"listed without a record: known, no endpoint": {
			{0, mergeList(live)}, {0, known(true)}, {0, takesWork(false)},
		},
		"leaving stops new work at once": {
			{0, receive(old)}, {0, mergeList(live)}, {5, takesWork(true)}, {5, mergeList(leaving)}, {5, takesWork(false)},
			{9, mergeList(live)}, {9, takesWork(true)},
		},
		"leaving soon after a start, no predecessor known": {
			{0, mergeList(live)}, {1, receive(young)}, {5, mergeList(leaving)}, {5, takesWork(false)},
		},
		"leaving in the first list of a new table, old process": {
			{0, mergeList(leaving)}, {3, receive(old)}, {3, takesWork(false)},
		},
		"leaving in the first list, process started later": {
			{0, mergeList(leaving)}, {10, receive(successor)}, {10, takesWork(true)}, {200, takesWork(true)},
		},
		"leaving in the first list, young process": {
			{0, receive(young)}, {5, mergeList(leaving)}, {5, takesWork(true)}, {59, takesWork(true)}, {61, takesWork(false)},
		},
		"a lagging entry remains while the process is replaced": {
			{0, mergeList(live)}, {0, receive(old)}, {1, mergeList(leaving)}, {1, takesWork(false)},
			{10, receive(successor)}, {10, takesWork(true)}, {65, mergeList(live)}, {65, takesWork(true)},
			{80, mergeList(leaving)}, {80, takesWork(false)},
		},
		"a lagging entry read after the replacement": {
			{0, mergeList(live)}, {0, receive(old)}, {10, receive(successor)}, {20, mergeList(leaving)}, {20, takesWork(true)},
			{65, mergeList(live)}, {75, takesWork(true)},
		},
		"an entry that outlasts the lag means the successor": {
			{0, mergeList(live)}, {0, receive(old)}, {10, receive(successor)}, {20, mergeList(leaving)}, {69, takesWork(true)},
			{71, takesWork(false)},
		},
		"leaving at another address": {
			{0, receive(moved)}, {0, mergeList(leaving)}, {100, takesWork(true)},
		},
		"unlisted, still publishing": {
			{0, receive(old)}, {0, mergeList(live)}, {5, mergeList()}, {70, takesWork(true)},
			{100, receive(record("a", old.Incarnation, 4))}, {190, takesWork(true)}, {300, known(false)},
		},
		"unlisted, suspected, silent": {
			{0, receive(old)}, {0, mergeList(live)}, {5, suspect(old)}, {60, takesWork(true)}, {70, mergeList()},
			{99, known(true)}, {101, known(false)},
		},
		"unlisted, suspected, refuted": {
			{0, receive(old)}, {0, mergeList(live)}, {70, mergeList()}, {70, suspect(old)},
			{80, receive(record("a", old.Incarnation, 4))}, {110, takesWork(true)},
		},
		"listed, suspected: only a hint": {
			{0, receive(old)}, {0, mergeList(live)}, {5, suspect(old)}, {500, takesWork(true)},
		},
		"without any list no node ends": {
			{0, receive(old)}, {0, suspect(old)}, {500, takesWork(true)},
		},
		"the first list comes late": {
			{0, receive(old)}, {400, mergeList()}, {410, takesWork(true)}, {579, known(true)}, {581, known(false)},
		},
		"presumed gone, then listed again and publishing": {
			{0, receive(old)}, {0, suspect(old)}, {0, mergeList()}, {31, known(false)},
			{40, receive(old)}, {40, known(false)}, {50, mergeList(live)}, {50, known(true)}, {50, takesWork(false)},
			{51, receive(record("a", old.Incarnation, 4))}, {51, takesWork(true)},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			table := newSimulation("self")
			for _, step := range steps {
				table.wait(epoch.Add(step.at * time.Second).Sub(table.now))
				step.act(table)
			}
		})
	}
}

func TestUnlistedSelfRepublishes(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	table.mergeList(listed("a", ListedLive))
	before := table.Self()
	table.wait(RefreshInterval)
	c.Assert(table.Self().Sequence, qt.Equals, before.Sequence+1)

	table.mergeList(listed("self", ListedLive))
	table.wait(10 * RefreshInterval)
	c.Assert(table.Self().Sequence, qt.Equals, before.Sequence+1, qt.Commentf("no new record while listed"))
}

func TestPresumedGoneNodeIsNotifiedAndRefutes(t *testing.T) {
	c := qt.New(t)
	left, right := newSimulation("left"), newSimulation("right")
	left.receive(right.Self())
	left.mergeList()
	left.wait(UnlistedLifetime)
	c.Assert(left.knows("right"), qt.IsFalse)

	c.Assert(left.RecordsIn([]int{bucketOf("right")}), qt.HasLen, 0, qt.Commentf("it is not passed on"))

	right.mergeList(listed("left", ListedLive), listed("right", ListedLive))
	left.receive(right.Self())
	c.Assert(left.knows("right"), qt.IsFalse, qt.Commentf("an old record does not bring it back"))
	repair(left, right)
	left.receive(right.Self())
	c.Assert(left.knows("right"), qt.IsTrue)
}

func TestPauseDoesNotCountAsSilenceOfOthers(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	table.receive(record("a", 1, 1))
	table.mergeList()
	table.now = table.now.Add(time.Hour)
	table.Expire(table.now)
	c.Assert(table.knows("a"), qt.IsTrue)
	table.now = table.now.Add(-2 * time.Hour)
	table.Expire(table.now)
	c.Assert(table.knows("a"), qt.IsTrue)
	table.wait(UnlistedLifetime)
	c.Assert(table.knows("a"), qt.IsFalse, qt.Commentf("a clock set back does not stop elapsed time"))
}

func TestTombstones(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	gone := record("a", 1, 2)
	gone.State = StateGone
	empty := table.Digest()

	c.Assert(table.receive(record("a", 1, 1)), qt.HasLen, 1)
	c.Assert(table.receive(gone), qt.HasLen, 1)
	c.Assert(table.knows("a"), qt.IsFalse)
	c.Assert(table.Digest(), qt.Equals, empty)
	c.Assert(table.RecordsIn([]int{bucketOf("a")}), qt.Contains, gone)
	table.wait(TombstoneLifetime)
	c.Assert(table.Len(), qt.Equals, 1)
	successor := record("b", 1, 1)
	successor.PeerAddress = gone.PeerAddress
	table.receive(successor)
	c.Assert(table.knows("b"), qt.IsTrue, qt.Commentf("a forgotten node owns no address"))
	table.receive(record("b", 1, 2))

	c.Assert(table.receive(gone), qt.HasLen, 0, qt.Commentf("tombstone of a node never known alive"))
	c.Assert(table.RecordsIn([]int{bucketOf("a")}), qt.Not(qt.Contains), gone)
	c.Assert(table.receive(record("a", 1, 1)), qt.HasLen, 0)
	c.Assert(table.knows("a"), qt.IsFalse)
	c.Assert(table.RecordsIn([]int{bucketOf("a")}), qt.Contains, gone, qt.Commentf("another table still holds it alive"))
}

func TestOwnNameClaimed(t *testing.T) {
	c := qt.New(t)
	later := record("self", started(time.Hour), 7)

	young := newSimulation("self")
	young.receive(later)
	c.Assert(young.Self().Supersedes(later), qt.IsTrue)

	replaced := newSimulation("self")
	replaced.wait(2 * immediateClaimWindow)
	replaced.receive(later)
	c.Assert(replaced.Contested(), qt.IsTrue)
	c.Assert(replaced.Self().Supersedes(later), qt.IsFalse)
	elsewhere := listed("self", ListedLive)
	elsewhere.PeerAddress = "elsewhere"
	replaced.mergeList(elsewhere)
	replaced.wait(time.Minute)
	c.Assert(replaced.Self().Supersedes(later), qt.IsFalse, qt.Commentf("the list names the successor"))
	replaced.mergeList(listed("self", ListedLive))
	replaced.wait(time.Second)
	c.Assert(replaced.Self().Supersedes(later), qt.IsTrue)
}

func TestYoungProcessDoesNotCounterEveryClaim(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	for rival := range 10 {
		table.receive(record("self", started(time.Duration(rival+1)*time.Hour), 1))
	}
	c.Assert(table.claims, qt.Equals, immediateClaims)
	c.Assert(table.Contested(), qt.IsTrue)
}

func TestTwoLiveProcessesOfOneNameDoNotOutbidEndlessly(t *testing.T) {
	c := qt.New(t)
	first, second := newSimulation("self"), newSimulation("self")
	rounds := 0
	for range 3600 {
		for first.receive(second.Self()); second.Self().Supersedes(first.Self()); rounds++ {
			first.wait(time.Second)
			second.wait(time.Second)
			second.receive(first.Self())
			first.receive(second.Self())
			if rounds > 3600 {
				break
			}
		}
		second.receive(first.Self())
	}
	claims := first.claims + second.claims
	c.Assert(claims <= 40, qt.IsTrue, qt.Commentf("%d claims in an hour", claims))
}

func TestPredecessorAtOwnAddressIsOutranked(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	before := record("before", started(time.Hour), 1) // its clock was ahead
	before.PeerAddress = table.Self().PeerAddress
	table.receive(before)
	c.Assert(table.Self().Incarnation > before.Incarnation, qt.IsTrue)
	c.Assert(table.knows("self"), qt.IsTrue)
	c.Assert(table.knows("before"), qt.IsFalse)
}
