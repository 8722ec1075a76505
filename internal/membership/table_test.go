package membership

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var epoch = time.UnixMilli(1_000_000_000_000)

// started returns the incarnation of a process that started that long after epoch.
func started(after time.Duration) Incarnation {
	return Incarnation(epoch.Add(after).UnixMilli())
}

func record(node NodeID, incarnation Incarnation, sequence uint64) Record {
	return Record{
		Node: node, Incarnation: incarnation, Sequence: sequence, State: StateReady,
		Region: "r", Zone: "z", Service: "s", Slots: 4,
		PeerAddress: "peer-" + string(node), DataAddress: "data-" + string(node),
	}
}

func listed(node NodeID, state ListedState) ListedMember {
	return ListedMember{Node: node, PeerAddress: "peer-" + string(node), Service: "s", State: state}
}

// simulation advances a table through virtual time in steps of one second.
type simulation struct {
	*Table
	now time.Time
}

func newSimulation(self NodeID) *simulation {
	return &simulation{Table: NewTable(record(self, started(0), 1)), now: epoch}
}

func (s *simulation) wait(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(time.Second)
		s.Expire(s.now)
	}
}

func (s *simulation) receive(records ...Record) []Record { return s.MergeRecords(records, s.now) }

func (s *simulation) mergeList(list ...ListedMember) bool { return s.MergeList(list, s.now) }

func (s *simulation) takesWork(node NodeID) bool {
	for _, endpoint := range s.View().Endpoints("s") {
		if endpoint.Node == node {
			return true
		}
	}
	return false
}

func (s *simulation) knows(node NodeID) bool {
	_, known := s.View().Member(node)
	return known
}

func (s *simulation) suspect(of Record) []Observation {
	observation := Observation{Subject: of.Node, Incarnation: of.Incarnation, Sequence: of.Sequence, Observer: "o"}
	return s.Observe([]Observation{observation}, s.now)
}

func drawRecord(t *rapid.T) Record {
	node := NodeID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "node"))
	r := record(node, Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation")), rapid.Uint64Range(1, 3).Draw(t, "sequence"))
	r.State = State(rapid.Uint8Range(1, 4).Draw(t, "state"))
	r.PeerAddress = rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "peer")
	r.DataAddress = rapid.SampledFrom([]string{"", "d1", "d2"}).Draw(t, "data")
	return r
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		split := rapid.IntRange(0, len(records)).Draw(t, "split")

		whole, parts := newSimulation("self"), newSimulation("self")
		whole.receive(records...)
		whole.View()
		parts.receive(shuffled[:split]...)
		parts.View()
		parts.receive(shuffled[split:]...)
		parts.receive(shuffled...) // again: merging is idempotent

		if whole.Digest() != parts.Digest() || whole.BucketDigests() != parts.BucketDigests() {
			t.Fatal("digests differ")
		}
		if diff := fmt.Sprint(whole.View().Members()); diff != fmt.Sprint(parts.View().Members()) {
			t.Fatalf("members differ:\n%s\n%s", diff, fmt.Sprint(parts.View().Members()))
		}
		rebuilt := NewView(parts.View().Members())
		if !rebuilt.SameEndpoints(parts.View()) {
			t.Fatal("a view built step by step differs from one built at once")
		}
	})
}

func TestRecordNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newSimulation("self")
		highest := make(map[NodeID]Record)
		for _, r := range rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records") {
			table.receive(r)
			held := table.entries[r.Node].record
			if before, ok := highest[r.Node]; ok && before.Supersedes(held) {
				t.Fatalf("held record regressed from %v to %v", before, held)
			}
			if r.Supersedes(held) {
				t.Fatalf("newer record %v did not replace %v", r, held)
			}
			highest[r.Node] = held
			table.wait(time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second)
		}
	})
}

// TestRepairConverges exchanges the differing buckets of two tables with different
// histories, as neighbours do, and expects equal digests.
func TestRepairConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left, right := newSimulation("left"), newSimulation("right")
		for _, table := range []*simulation{left, right} {
			table.receive(rapid.SliceOf(rapid.Custom(drawRecord)).Draw(t, "records")...)
			for _, e := range table.entries {
				if rapid.Bool().Draw(t, "suspected") {
					table.suspect(e.record)
				}
			}
		}
		const rounds = 4
		for range rounds {
			repair(left, right)
			repair(right, left)
		}
		if left.Digest() != right.Digest() {
			t.Fatalf("digests differ after repair:\n%v\n%v", left.View().Members(), right.View().Members())
		}
	})
}

func repair(from, to *simulation) {
	digests := to.BucketDigests()
	buckets := from.DifferingBuckets(digests[:])
	to.receive(from.RecordsIn(buckets)...)
	to.Observe(from.ObservationsIn(buckets), to.now)
}

func TestSelfRefutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newSimulation("self")
		for range rapid.IntRange(1, 5).Draw(t, "times") {
			before := table.Self()
			table.suspect(before)
			if !table.Self().Supersedes(before) {
				t.Fatal("a suspicion of the table's own record was not refuted")
			}
			after := table.Self()
			table.suspect(before)
			if table.Self() != after {
				t.Fatal("an already refuted suspicion raised the sequence again")
			}
		}
	})
}

func TestSuspicionAppliesToOneRecord(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	a := record("a", 1, 1)
	table.receive(a)
	unsuspected := table.Digest()

	c.Assert(table.suspect(record("a", 1, 2)), qt.HasLen, 0)
	c.Assert(table.suspect(a), qt.HasLen, 1)
	c.Assert(table.suspect(a), qt.HasLen, 0)
	c.Assert(table.View().Endpoints("s")[0].Suspected, qt.IsTrue)
	c.Assert(table.View().ReadyInstances("s", "z"), qt.Equals, 1, qt.Commentf("only self"))
	c.Assert(table.Digest(), qt.Not(qt.Equals), unsuspected)

	table.receive(record("a", 1, 2))
	c.Assert(table.View().Endpoints("s")[0].Suspected, qt.IsFalse)
	c.Assert(table.View().ReadyInstances("s", ""), qt.Equals, 2)
}

func TestReusedAddress(t *testing.T) {
	c := qt.New(t)
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		table := newSimulation("self")
		both := []Record{record("old", 1, 9), record("new", 2, 1)}
		both[1].PeerAddress = both[0].PeerAddress
		table.receive(both[order[0]])
		table.View()
		table.receive(both[order[1]])
		c.Assert(table.knows("old"), qt.IsFalse)
		c.Assert(table.takesWork("new"), qt.IsTrue)

		moved := record("new", 3, 1)
		table.receive(moved)
		c.Assert(table.knows("old"), qt.IsTrue, qt.Commentf("the address is free again"))
	}
}

func TestRestartedNodeIsNotItsPredecessor(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	table.receive(record("a", 1, 50))
	table.suspect(record("a", 1, 50))
	c.Assert(table.receive(record("a", 2, 1)), qt.HasLen, 1)
	c.Assert(table.receive(record("a", 1, 51)), qt.HasLen, 0)
	c.Assert(table.suspect(record("a", 1, 50)), qt.HasLen, 0)
	endpoint := table.View().Endpoints("s")[0]
	c.Assert(endpoint.Incarnation, qt.Equals, Incarnation(2))
	c.Assert(endpoint.Suspected, qt.IsFalse)
}

func TestInvalidRecordsAreDropped(t *testing.T) {
	c := qt.New(t)
	long := string(make([]byte, maxTextBytes+1))
	for name, corrupt := range map[string]func(*Record){
		"no name":           func(r *Record) { r.Node = "" },
		"no address":        func(r *Record) { r.PeerAddress = "" },
		"unknown state":     func(r *Record) { r.State = 9 },
		"no incarnation":    func(r *Record) { r.Incarnation = 0 },
		"huge incarnation":  func(r *Record) { r.Incarnation = maxIncarnation },
		"oversized service": func(r *Record) { r.Service = long },
	} {
		c.Run(name, func(c *qt.C) {
			table := newSimulation("self")
			bad := record("a", 1, 1)
			corrupt(&bad)
			c.Assert(table.receive(bad), qt.HasLen, 0)
			c.Assert(table.Len(), qt.Equals, 1)
		})
	}
}

func TestViewChangesOnlyWithItsContent(t *testing.T) {
	c := qt.New(t)
	table := newSimulation("self")
	table.receive(record("a", 1, 1), record("b", 1, 1))
	first := table.View()
	table.receive(record("a", 1, 1))
	table.wait(5 * time.Second)
	c.Assert(table.View(), qt.Equals, first)

	table.receive(record("a", 1, 2))
	second := table.View()
	c.Assert(second, qt.Not(qt.Equals), first)
	c.Assert(second.SameEndpoints(first), qt.IsTrue)
	c.Assert(first.Members()[0].Record.Sequence, qt.Equals, uint64(1), qt.Commentf("a view is immutable"))

	draining := record("a", 1, 3)
	draining.State = StateDraining
	table.receive(draining)
	member, _ := table.View().Member("a")
	c.Assert(member.Leaving, qt.IsTrue)
	c.Assert(table.View().SameEndpoints(first), qt.IsFalse)
	c.Assert(table.takesWork("a"), qt.IsFalse)
	c.Assert(table.takesWork("b"), qt.IsTrue)
}

// benchmarkMembers is the fleet size that the package is designed for.
const benchmarkMembers = 710

func BenchmarkViewAfterOneChange(b *testing.B) {
	table := newSimulation("self")
	for i := range benchmarkMembers {
		r := record(NodeID(fmt.Sprintf("n%03d", i)), 1, 1)
		r.Service = fmt.Sprintf("s%d", i%30)
		table.receive(r)
	}
	b.ReportAllocs()
	for i := range b.N {
		r := record("n500", 1, uint64(i+2))
		r.State = State(1 + i%2)
		table.receive(r)
		table.View()
	}
}
