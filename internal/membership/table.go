package membership

import (
	"slices"
	"time"
)

// Limits on what a table holds of other nodes' data.
const (
	maxMembers     = 20_000
	maxTextBytes   = 255
	maxIncarnation = Incarnation(1) << 53
)

const (
	firstSequence = 1

	// During immediateClaimWindow a process counters this many claims to its name
	// or address without delay.
	immediateClaimWindow = time.Minute
	immediateClaims      = 3
	// Further claims are countered after claimDelay, doubled for each claim up to
	// maxClaimDoubling times.
	claimDelay       = 10 * time.Second
	maxClaimDoubling = 6
)

// Table merges everything that a node learns about the fleet. It is not safe for
// concurrent use. Callers pass in the current time.
//
// For each node the record with the highest (Incarnation, Sequence) wins. What
// follows from the list, from suspicions or from the reuse of an address is kept
// separately and never changes a record. So tables that merged the same records
// hold the same ones, in whatever order they arrived.
//
// MergeRecords, MergeList, MergeListChanges, Observe and Expire may change this
// node's own record. A caller compares Self before and after, and publishes it if
// it differs.
type Table struct {
	self    Record
	entries map[NodeID]*entry
	buckets [Buckets]uint64
	clock   clock

	// addressOwners maps an address to the node whose process took it last.
	addressOwners map[string]NodeID

	list     map[NodeID][]listing
	haveList bool

	// conflict is the highest incarnation of another process with this node's name
	// or address, if not below this node's own; 0: none.
	conflict    Incarnation
	claims      int
	nextClaimAt time.Duration

	view  *View
	dirty map[NodeID]struct{}
}

// NewTable returns a table that holds only the node's own record.
func NewTable(self Record) *Table {
	t := &Table{
		entries:       make(map[NodeID]*entry),
		addressOwners: make(map[string]NodeID),
		list:          make(map[NodeID][]listing),
		view:          &View{},
		dirty:         make(map[NodeID]struct{}),
	}
	self.Sequence = max(self.Sequence, firstSequence)
	t.setSelf(self)
	return t
}

// Self returns this node's current record.
func (t *Table) Self() Record { return t.self }

// SetSelfState sets the state in this node's record. It returns the record and
// whether it changed.
func (t *Table) SetSelfState(state State) (Record, bool) {
	if t.self.State == state {
		return t.self, false
	}
	record := t.self
	record.State = state
	record.Sequence++
	t.setSelf(record)
	return t.self, true
}

// Contested reports whether another process has this node's name or address with
// a later incarnation: this process was replaced, or two processes share a name.
func (t *Table) Contested() bool {
	return t.conflict != 0 && t.conflict >= t.self.Incarnation
}

// Len returns how many records the table holds, tombstones included.
func (t *Table) Len() int { return len(t.entries) }

// Record returns the record held for a node that has not ended.
func (t *Table) Record(node NodeID) (Record, bool) {
	e := t.entries[node]
	if e == nil || e.ended() {
		return Record{}, false
	}
	return e.record, true
}

// View returns the current view. It returns the same pointer until the content
// changes.
func (t *Table) View() *View {
	if len(t.dirty) == 0 {
		return t.view
	}
	changed, removed := t.changes()
	clear(t.dirty)
	if len(changed) > 0 || len(removed) > 0 {
		t.view = t.view.next(changed, removed)
	}
	return t.view
}

// changes compares the dirty nodes with the last view. Both results are sorted by
// NodeID.
func (t *Table) changes() (changed []*Member, removed []NodeID) {
	for node := range t.dirty {
		before := t.view.find(node)
		member, known := t.member(node)
		switch {
		case known && (before == nil || *before != member):
			changed = append(changed, &member)
		case !known && before != nil:
			removed = append(removed, node)
		}
	}
	sortMembers(changed)
	slices.Sort(removed)
	return changed, removed
}

// member returns the merged state of a node; false if it is not known or has ended.
func (t *Table) member(node NodeID) (Member, bool) {
	e := t.entries[node]
	other := t.listedElsewhere(node, e)
	if e == nil || e.ended() || t.lostAddress(e) {
		return memberFromList(other)
	}
	member := Member{
		Record:    e.record,
		Listed:    e.listed,
		Leaving:   e.leaving || e.record.State == StateDraining,
		Suspected: e.suspected(),
	}
	if other != nil {
		member.ListedAddress = other.PeerAddress
	}
	return member, true
}

// memberFromList returns the member for a node that only the list names.
func memberFromList(l *listing) (Member, bool) {
	if l == nil {
		return Member{}, false
	}
	record := Record{
		Node:        l.Node,
		State:       StateStarting,
		Region:      l.Region,
		Zone:        l.Zone,
		PeerAddress: l.PeerAddress,
		Service:     l.Service,
	}
	return Member{Record: record, Listed: true, Leaving: l.State == ListedLeaving}, true
}

func (t *Table) markDirty(node NodeID) { t.dirty[node] = struct{}{} }
