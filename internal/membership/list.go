package membership

import (
	"slices"
	"time"
)

// ListLag is how long the platform's list may be out of date about a machine.
const ListLag = time.Minute

// listing is one entry of the platform's list.
type listing struct {
	ListedMember
	// leavingAt is when the table first saw the entry say "leaving".
	leavingAt time.Duration
	// inFirstList is set if the entry said "leaving" in the first list that the
	// table saw. How long it had said so before is then unknown.
	inFirstList bool
}

func (l *listing) matches(record Record) bool {
	return l.PeerAddress == "" || l.PeerAddress == record.PeerAddress
}

// MergeList replaces the platform's list with a newer one and reports whether it
// changed. The list adds nodes to dial and marks nodes as leaving. A node that is
// not in it stays while it still publishes its record (see Expire).
func (t *Table) MergeList(list []ListedMember, now time.Time) (changed bool) {
	named := make(map[NodeID]bool, len(list))
	for _, member := range list {
		named[member.Node] = true
	}
	var unlisted []NodeID
	for node := range t.list {
		if !named[node] {
			unlisted = append(unlisted, node)
		}
	}
	return t.MergeListChanges(list, unlisted, now)
}

// MergeListChanges applies changes to the platform's list: the entries in listed
// replace all earlier entries of the nodes they name, and the entries of the nodes
// in unlisted are removed. It reports whether the list changed.
func (t *Table) MergeListChanges(listed []ListedMember, unlisted []NodeID, now time.Time) (changed bool) {
	t.clock.advance(now)
	first := !t.haveList
	t.haveList = true
	for _, node := range unlisted {
		changed = t.replaceListings(node, nil) || changed
	}
	for node, listings := range t.groupListings(listed, first) {
		changed = t.replaceListings(node, listings) || changed
	}
	if first {
		t.evaluateAllListings()
	}
	return changed || first
}

// Listed returns the platform's list as last merged, in no particular order, to be
// sent to nodes that have no list.
func (t *Table) Listed() []ListedMember {
	var members []ListedMember
	for _, listings := range t.list {
		for i := range listings {
			members = append(members, listings[i].ListedMember)
		}
	}
	return members
}

// groupListings groups entries by node. An unchanged entry that says "leaving"
// keeps its leavingAt.
func (t *Table) groupListings(listed []ListedMember, first bool) map[NodeID][]listing {
	grouped := make(map[NodeID][]listing, len(listed))
	for _, member := range listed {
		if member.Node == "" || len(grouped) >= maxMembers {
			continue
		}
		member = internListed(member)
		next := listing{ListedMember: member}
		if member.State == ListedLeaving {
			next.leavingAt = t.clock.elapsed
			next.inFirstList = first
		}
		for _, previous := range t.list[member.Node] {
			if previous.ListedMember == member {
				next = previous
			}
		}
		grouped[member.Node] = append(grouped[member.Node], next)
	}
	return grouped
}

func internListed(member ListedMember) ListedMember {
	member.Node = NodeID(shared(string(member.Node)))
	member.PeerAddress = shared(member.PeerAddress)
	member.Region = shared(member.Region)
	member.Zone = shared(member.Zone)
	member.Service = shared(member.Service)
	member.State = ListedState(shared(string(member.State)))
	return member
}

func (t *Table) replaceListings(node NodeID, listings []listing) bool {
	if slices.Equal(t.list[node], listings) {
		return false
	}
	if len(listings) == 0 {
		delete(t.list, node)
	} else {
		t.list[node] = listings
	}
	t.markDirty(node)
	if e := t.entries[node]; e != nil {
		t.evaluateListing(e)
	}
	return true
}

func (t *Table) evaluateAllListings() {
	for _, e := range t.entries {
		e.unlistedAt = t.clock.elapsed
		t.evaluateListing(e)
	}
}

// evaluateListing updates what the list says about the entry's process.
func (t *Table) evaluateListing(e *entry) {
	wasListed, wasLeaving := e.listed, e.leaving
	e.listed, e.leaving = false, false
	listings := t.list[e.record.Node]
	for i := range listings {
		l := &listings[i]
		if !l.matches(e.record) {
			continue
		}
		e.listed = true
		e.leaving = e.leaving || l.State == ListedLeaving && t.appliesTo(l, e)
	}
	if wasListed && !e.listed {
		e.unlistedAt = t.clock.elapsed
	}
	if wasListed != e.listed || wasLeaving != e.leaving {
		t.markDirty(e.record.Node)
	}
}

// appliesTo reports whether an entry that says "leaving" means the process of
// the held record, rather than an earlier process of the same name and address
// that the lagging list still names:
//
//   - An entry that said "leaving" before the process started means an earlier
//     process for as long as it is listed.
//   - A later entry means this process if the table knows of no earlier one.
//   - Otherwise the table waits until the process is older than ListLag: an entry
//     that is still listed then means this process.
func (t *Table) appliesTo(l *listing, e *entry) bool {
	switch {
	case l.leavingAt < e.startedAt:
		return false
	case e.replaced || l.inFirstList:
		return t.clock.elapsed >= e.startedAt+ListLag
	default:
		return true
	}
}

// listedElsewhere returns an entry of the list with an address for the node that
// differs from that of the held record, or nil. Without a record, and for a node
// that is presumed gone but may be alive, any entry counts.
func (t *Table) listedElsewhere(node NodeID, e *entry) *listing {
	listings := t.list[node]
	for i := range listings {
		if e == nil || e.presumedGone || !listings[i].matches(e.record) {
			return &listings[i]
		}
	}
	return nil
}
