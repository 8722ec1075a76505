package membership

import (
	"slices"
	"time"
)

// ListLag is how long the platform's list may be wrong about a machine.
const ListLag = time.Minute

// listing is one entry of the platform's list.
type listing struct {
	ListedMember
	// leavingAt is when the table first saw the entry say "leaving".
	leavingAt time.Duration
	// inFirstList is set when it said so in the first list the table saw: how long
	// it has been saying so is then unknown.
	inFirstList bool
}

func (l *listing) names(record Record) bool {
	return l.PeerAddress == "" || l.PeerAddress == record.PeerAddress
}

// MergeList replaces the platform's list by a newer one and reports whether it
// changed. The list adds nodes to dial and marks nodes as leaving. It ends no
// node that still speaks for itself (see Expire).
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
// replace all former entries of the nodes they name, those of the nodes in
// unlisted are removed. It reports whether the list changed.
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
		t.judgeAllListings()
	}
	return changed || first
}

// Listed returns the platform's list as last merged, in no particular order, for
// nodes that have none.
func (t *Table) Listed() []ListedMember {
	var members []ListedMember
	for _, listings := range t.list {
		for i := range listings {
			members = append(members, listings[i].ListedMember)
		}
	}
	return members
}

// groupListings sorts entries by node. An entry that said "leaving" before keeps
// its time.
func (t *Table) groupListings(listed []ListedMember, first bool) map[NodeID][]listing {
	grouped := make(map[NodeID][]listing, len(listed))
	for _, member := range listed {
		if member.Node == "" || len(grouped) >= maxMembers {
			continue
		}
		member = internListed(member)
		next := listing{ListedMember: member}
		if member.State == ListedLeaving {
			next.leavingAt = t.clock.awake
			next.inFirstList = first
		}
		for _, former := range t.list[member.Node] {
			if former.ListedMember == member {
				next = former
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
	t.touch(node)
	if e := t.entries[node]; e != nil {
		t.judgeListing(e)
	}
	return true
}

func (t *Table) judgeAllListings() {
	for _, e := range t.entries {
		e.unlistedAt = t.clock.awake
		t.judgeListing(e)
	}
}

// judgeListing works out what the list says of the entry's process.
func (t *Table) judgeListing(e *entry) {
	wasListed, wasLeaving := e.listed, e.leaving
	e.listed, e.leaving = false, false
	listings := t.list[e.record.Node]
	for i := range listings {
		l := &listings[i]
		if !l.names(e.record) {
			continue
		}
		e.listed = true
		e.leaving = e.leaving || l.State == ListedLeaving && t.meansProcess(l, e)
	}
	if wasListed && !e.listed {
		e.unlistedAt = t.clock.awake
	}
	if wasListed != e.listed || wasLeaving != e.leaving {
		t.touch(e.record.Node)
	}
}

// meansProcess tells whether an entry that says "leaving" means the process of
// the record held, or an earlier one of the same name and address that the
// lagging list still speaks of:
//
//   - An entry that said so before the process started means an earlier one, for
//     as long as it stands.
//   - A later one means the process if the table knows of no earlier one.
//   - Otherwise the table waits until the process is older than ListLag: an entry
//     that stands then means the process.
func (t *Table) meansProcess(l *listing, e *entry) bool {
	switch {
	case l.leavingAt < e.startedAt:
		return false
	case e.replaced || l.inFirstList:
		return t.clock.awake >= e.startedAt+ListLag
	default:
		return true
	}
}

// listedElsewhere returns an entry of the list that gives the node an address
// where the record held, if any, does not say it is; nil when there is none. An
// entry counts as well for a node that the table buried, which may be alive.
func (t *Table) listedElsewhere(node NodeID, e *entry) *listing {
	listings := t.list[node]
	for i := range listings {
		if e == nil || e.buried || !listings[i].names(e.record) {
			return &listings[i]
		}
	}
	return nil
}
