package membership

import (
	"slices"
	"time"
)

// Bounds on what other nodes can make a table hold.
const (
	maxMembers     = 20_000
	maxTextBytes   = 255
	maxIncarnation = Incarnation(1) << 53
)

const (
	firstSequence = 1

	// A young process answers this many claims to its name or address at once.
	claimWindow = time.Minute
	freeClaims  = 3
	// Later ones wait for claimDelay, doubled for each claim up to a limit.
	claimDelay       = 10 * time.Second
	maxClaimDoubling = 6
)

// Table merges all that a node hears of the fleet. One goroutine owns it. The
// time is passed in by its callers.
//
// Records form a register per node in which the highest (Incarnation, Sequence)
// stays; what follows from the list, from suspicion or from the reuse of an
// address is worked out beside it and never changes a record. So tables that
// heard the same records hold the same ones, whatever the order.
//
// MergeRecords, MergeList, MergeListChanges, Observe and Expire may raise the own
// record: a caller compares Self before and after, and publishes it when it
// differs.
type Table struct {
	self    Record
	entries map[NodeID]*entry
	buckets [Buckets]uint64
	clock   clock

	// holders names the node whose process last took an address.
	holders map[string]NodeID

	list     map[NodeID][]listing
	haveList bool

	// contested is the highest incarnation that a record gave to the own name or
	// address, if it is not below the own; 0: none.
	contested   Incarnation
	claims      int
	nextClaimAt time.Duration

	view  *View
	dirty map[NodeID]struct{}
}

// NewTable returns a table that holds only the own record.
func NewTable(self Record) *Table {
	t := &Table{
		entries: make(map[NodeID]*entry),
		holders: make(map[string]NodeID),
		list:    make(map[NodeID][]listing),
		view:    &View{},
		dirty:   make(map[NodeID]struct{}),
	}
	self.Sequence = max(self.Sequence, firstSequence)
	t.publish(self)
	return t
}

// Self returns the own record as last published.
func (t *Table) Self() Record { return t.self }

// SetSelfState publishes the own state. It returns the own record and whether it
// changed.
func (t *Table) SetSelfState(state State) (Record, bool) {
	if t.self.State == state {
		return t.self, false
	}
	record := t.self
	record.State = state
	record.Sequence++
	t.publish(record)
	return t.self, true
}

// Contested reports whether another process holds the own name or address with
// a later incarnation: the own process was replaced, or two have one name.
func (t *Table) Contested() bool {
	return t.contested != 0 && t.contested >= t.self.Incarnation
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

// View returns the current picture. It stays the same pointer until something
// in it changes.
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

// changes compares the nodes that were touched with the last view. Both results
// are sorted by NodeID.
func (t *Table) changes() (changed []*Member, removed []NodeID) {
	for node := range t.dirty {
		before := t.view.find(node)
		member, is := t.member(node)
		switch {
		case is && (before == nil || *before != member):
			changed = append(changed, &member)
		case !is && before != nil:
			removed = append(removed, node)
		}
	}
	sortMembers(changed)
	slices.Sort(removed)
	return changed, removed
}

// member works out what the table believes of a node; false when it is not known
// or has ended.
func (t *Table) member(node NodeID) (Member, bool) {
	e := t.entries[node]
	other := t.listedElsewhere(node, e)
	if e == nil || e.ended() || t.displaced(e) {
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

// memberFromList describes a node of which only the list tells.
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

func (t *Table) touch(node NodeID) { t.dirty[node] = struct{}{} }
