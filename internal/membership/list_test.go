package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestListWrong drives a table through the ways in which the platform's list is
// wrong for a while. Each step happens at the given time.
func TestListWrong(t *testing.T) {
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
	hear := func(r Record) func(*simulation) { return func(s *simulation) { s.hear(r) } }
	read := func(l ...ListedMember) func(*simulation) { return func(s *simulation) { s.read(l...) } }
	suspect := func(r Record) func(*simulation) { return func(s *simulation) { s.suspect(r) } }
	work := func(want bool) func(*simulation) {
		return func(s *simulation) {
			qt.Assert(t, s.takesWork("a"), qt.Equals, want, qt.Commentf("at %v", s.clock.awake))
		}
	}
	known := func(want bool) func(*simulation) {
		return func(s *simulation) {
			qt.Assert(t, s.knows("a"), qt.Equals, want, qt.Commentf("at %v", s.clock.awake))
		}
	}
	cases := map[string][]step{
		"listed without a record: known, no endpoint": {
			{0, read(live)}, {0, known(true)}, {0, work(false)},
		},
		"leaving stops new work at once": {
			{0, hear(old)}, {0, read(live)}, {5, work(true)}, {5, read(leaving)}, {5, work(false)},
			{9, read(live)}, {9, work(true)},
		},
		"leaving soon after a start, no predecessor known": {
			{0, read(live)}, {1, hear(young)}, {5, read(leaving)}, {5, work(false)},
		},
		"leaving in the first list of a new table, of an old process": {
			{0, read(leaving)}, {3, hear(old)}, {3, work(false)},
		},
		"leaving in the first list, of a process that started after it": {
			{0, read(leaving)}, {10, hear(successor)}, {10, work(true)}, {200, work(true)},
		},
		"leaving in the first list, of a process that is young": {
			{0, hear(young)}, {5, read(leaving)}, {5, work(true)}, {59, work(true)}, {61, work(false)},
		},
		"a lagging entry stands while the process is replaced": {
			{0, read(live)}, {0, hear(old)}, {1, read(leaving)}, {1, work(false)},
			{10, hear(successor)}, {10, work(true)}, {65, read(live)}, {65, work(true)},
			{80, read(leaving)}, {80, work(false)},
		},
		"an entry that lags behind the replacement": {
			{0, read(live)}, {0, hear(old)}, {10, hear(successor)}, {20, read(leaving)}, {20, work(true)},
			{65, read(live)}, {75, work(true)},
		},
		"an entry that outlasts the lag means the successor": {
			{0, read(live)}, {0, hear(old)}, {10, hear(successor)}, {20, read(leaving)}, {69, work(true)},
			{71, work(false)},
		},
		"leaving at another address": {
			{0, hear(moved)}, {0, read(leaving)}, {100, work(true)},
		},
		"unlisted, speaking": {
			{0, hear(old)}, {0, read(live)}, {5, read()}, {70, work(true)},
			{100, hear(record("a", old.Incarnation, 4))}, {190, work(true)}, {300, known(false)},
		},
		"unlisted, suspected, silent": {
			{0, hear(old)}, {0, read(live)}, {5, suspect(old)}, {60, work(true)}, {70, read()},
			{99, known(true)}, {101, known(false)},
		},
		"unlisted, suspected, refuted": {
			{0, hear(old)}, {0, read(live)}, {70, read()}, {70, suspect(old)},
			{80, hear(record("a", old.Incarnation, 4))}, {110, work(true)},
		},
		"listed, suspected: stays as a hint": {
			{0, hear(old)}, {0, read(live)}, {5, suspect(old)}, {500, work(true)},
		},
		"no list at all ends nobody": {
			{0, hear(old)}, {0, suspect(old)}, {500, work(true)},
		},
		"the first list comes late": {
			{0, hear(old)}, {400, read()}, {410, work(true)}, {579, known(true)}, {581, known(false)},
		},
		"buried, then listed again and speaking": {
			{0, hear(old)}, {0, suspect(old)}, {0, read()}, {31, known(false)},
			{40, hear(old)}, {40, known(false)}, {50, read(live)}, {50, known(true)}, {50, work(false)},
			{51, hear(record("a", old.Incarnation, 4))}, {51, work(true)},
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

func TestUnlistedSelfPublishesAgain(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	table.read(listed("a", ListedLive))
	before := table.Self()
	table.wait(RefreshInterval)
	c.Assert(table.Self().Sequence, qt.Equals, before.Sequence+1)

	table.read(listed("self", ListedLive))
	table.wait(10 * RefreshInterval)
	c.Assert(table.Self().Sequence, qt.Equals, before.Sequence+1, qt.Commentf("quiet while listed"))
}

func TestBuriedNodeIsToldAndRefutes(t *testing.T) {
	c := qt.New(t)
	left, right := newSimulation("left"), newSimulation("right")
	left.hear(right.Self())
	left.read()
	left.wait(UnlistedLifetime)
	c.Assert(left.knows("right"), qt.IsFalse)

	c.Assert(left.RecordsIn([]int{bucketOf("right")}), qt.HasLen, 0, qt.Commentf("it is not passed on"))

	right.read(listed("left", ListedLive), listed("right", ListedLive))
	left.hear(right.Self())
	c.Assert(left.knows("right"), qt.IsFalse, qt.Commentf("an old record does not bring it back"))
	repair(left, right)
	left.hear(right.Self())
	c.Assert(left.knows("right"), qt.IsTrue)
}

func TestPauseIsNotSilenceOfOthers(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	table.hear(record("a", 1, 1))
	table.read()
	table.now = table.now.Add(time.Hour)
	table.Expire(table.now)
	c.Assert(table.knows("a"), qt.IsTrue)
	table.now = table.now.Add(-2 * time.Hour)
	table.Expire(table.now)
	c.Assert(table.knows("a"), qt.IsTrue)
	table.wait(UnlistedLifetime)
	c.Assert(table.knows("a"), qt.IsFalse, qt.Commentf("a clock set back does not stop the time"))
}

func TestTombstones(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	gone := record("a", 1, 2)
	gone.State = StateGone
	empty := table.Digest()

	c.Assert(table.hear(record("a", 1, 1)), qt.HasLen, 1)
	c.Assert(table.hear(gone), qt.HasLen, 1)
	c.Assert(table.knows("a"), qt.IsFalse)
	c.Assert(table.Digest(), qt.Equals, empty)
	c.Assert(table.RecordsIn([]int{bucketOf("a")}), qt.Contains, gone)
	table.wait(TombstoneLifetime)
	c.Assert(table.Len(), qt.Equals, 1)
	successor := record("b", 1, 1)
	successor.PeerAddress = gone.PeerAddress
	table.hear(successor)
	c.Assert(table.knows("b"), qt.IsTrue, qt.Commentf("a node that is forgotten holds no address"))
	table.hear(record("b", 1, 2))

	c.Assert(table.hear(gone), qt.HasLen, 0, qt.Commentf("of a node never known alive"))
	c.Assert(table.RecordsIn([]int{bucketOf("a")}), qt.Not(qt.Contains), gone)
	c.Assert(table.hear(record("a", 1, 1)), qt.HasLen, 0)
	c.Assert(table.knows("a"), qt.IsFalse)
	c.Assert(table.RecordsIn([]int{bucketOf("a")}), qt.Contains, gone, qt.Commentf("some table holds it alive"))
}

func TestOwnNameClaimed(t *testing.T) {
	c := qt.New(t)
	later := record("self", started(time.Hour), 7)

	young := newSimulation("self")
	young.hear(later)
	c.Assert(young.Self().Supersedes(later), qt.IsTrue)

	replaced := newSimulation("self")
	replaced.wait(2 * claimWindow)
	replaced.hear(later)
	c.Assert(replaced.Contested(), qt.IsTrue)
	c.Assert(replaced.Self().Supersedes(later), qt.IsFalse)
	elsewhere := listed("self", ListedLive)
	elsewhere.PeerAddress = "elsewhere"
	replaced.read(elsewhere)
	replaced.wait(time.Minute)
	c.Assert(replaced.Self().Supersedes(later), qt.IsFalse, qt.Commentf("the list names the successor"))
	replaced.read(listed("self", ListedLive))
	replaced.wait(time.Second)
	c.Assert(replaced.Self().Supersedes(later), qt.IsTrue)
}

func TestYoungProcessDoesNotAnswerEveryClaim(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	for rival := range 10 {
		table.hear(record("self", started(time.Duration(rival+1)*time.Hour), 1))
	}
	c.Assert(table.claims, qt.Equals, freeClaims)
	c.Assert(table.Contested(), qt.IsTrue)
}

func TestTwoLiveProcessesOfOneNameDoNotFlood(t *testing.T) {
	c := qt.New(t)
	first, second := newSimulation("self"), newSimulation("self")
	rounds := 0
	for range 3600 {
		for first.hear(second.Self()); second.Self().Supersedes(first.Self()); rounds++ {
			first.wait(time.Second)
			second.wait(time.Second)
			second.hear(first.Self())
			first.hear(second.Self())
			if rounds > 3600 {
				break
			}
		}
		second.hear(first.Self())
	}
	claims := first.claims + second.claims
	c.Assert(claims <= 40, qt.IsTrue, qt.Commentf("%d claims in an hour", claims))
}

func TestPredecessorAtOwnAddressIsOutranked(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	before := record("before", started(time.Hour), 1) // its clock was ahead
	before.PeerAddress = table.Self().PeerAddress
	table.hear(before)
	c.Assert(table.Self().Incarnation > before.Incarnation, qt.IsTrue)
	c.Assert(table.knows("self"), qt.IsTrue)
	c.Assert(table.knows("before"), qt.IsFalse)
}
