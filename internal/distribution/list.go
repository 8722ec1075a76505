package distribution

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// maxListEntries bounds what peers can make the list grow to.
const maxListEntries = 20_000

// listBuckets is the number of parts the list is split into by node, to find
// differences between two nodes.
const listBuckets = 16

// listBook holds the platform's list as it is passed on between nodes: per node the latest
// entry, by the order that the platform gives them. Where it counts no changes of its list,
// the order is that in which readers got them.
type listBook struct {
	entries map[membership.NodeID]wire.ListedEntry
	buckets [listBuckets]uint64
	// read is the list as the own process last read it, nil if it never did; revision is
	// that of the list, zero where the platform tells none.
	read     map[membership.NodeID][]membership.ListedMember
	revision uint64
}

// ordersPerRevision leaves room for changes of what is believed of a list that stays the
// same, such as entries that are no longer awaited.
const ordersPerRevision = 1024

func newListBook() listBook {
	return listBook{entries: make(map[membership.NodeID]wire.ListedEntry)}
}

func listBucket(node membership.NodeID) int {
	return int(xxhash.Sum64String(string(node)) % listBuckets)
}

// entryDigest covers what an entry says, not when it was read. A node that is not
// listed counts nothing.
func entryDigest(entry wire.ListedEntry) uint64 {
	if len(entry.Members) == 0 {
		return 0
	}
	var buffer []byte
	for _, member := range entry.Members {
		for _, text := range [...]string{
			string(entry.Node), member.PeerAddress, member.Region, member.Zone, member.Service, string(member.State),
		} {
			buffer = binary.AppendUvarint(buffer, uint64(len(text)))
			buffer = append(buffer, text...)
		}
	}
	return xxhash.Sum64(buffer)
}

// merge takes an entry if it says something else than the one held and is later, and
// reports whether it did. A later one that says the same moves the one held up, so that
// no answer from between the two wins when it arrives late.
func (b *listBook) merge(entry wire.ListedEntry) bool {
	held, known := b.entries[entry.Node]
	if known && entry.Order <= held.Order {
		return false
	}
	if slices.Equal(held.Members, entry.Members) {
		if known {
			held.Order = entry.Order
			b.entries[entry.Node] = held
		}
		return false
	}
	if !known && len(b.entries) >= maxListEntries {
		return false
	}
	b.entries[entry.Node] = entry
	b.buckets[listBucket(entry.Node)] += entryDigest(entry) - entryDigest(held)
	return true
}

// digest covers the whole list.
func (b *listBook) digest() uint64 {
	var sum uint64
	for _, bucket := range b.buckets {
		sum += bucket
	}
	return sum
}

// in returns the entries of the buckets that differ from a peer's.
func (b *listBook) in(theirs []uint64) []wire.ListedEntry {
	var differs [listBuckets]bool
	for i := range differs {
		differs[i] = i >= len(theirs) || theirs[i] != b.buckets[i]
	}
	var entries []wire.ListedEntry
	for _, entry := range b.entries {
		if differs[listBucket(entry.Node)] {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b wire.ListedEntry) int { return cmp.Compare(a.Node, b.Node) })
	return entries
}

// changes takes over a list that was just read and returns the entries that are news.
func (b *listBook) changes(list []membership.ListedMember, revision uint64, now time.Time) []wire.ListedEntry {
	before := b.read
	b.read = make(map[membership.NodeID][]membership.ListedMember, len(list))
	for _, member := range list {
		b.read[member.Node] = append(b.read[member.Node], member)
	}
	b.revision = max(b.revision, revision)
	if revision == 0 {
		return b.changesSince(before, now.UnixMilli())
	}
	return b.changesAt(revision)
}

// confirmed takes over that the list last read is still the platform's, at a revision that
// may be later, and returns the entries that are news: peers may have told of a list from
// between.
func (b *listBook) confirmed(revision uint64) []wire.ListedEntry {
	if revision = max(revision, b.revision); revision == 0 || b.read == nil {
		return nil
	}
	b.revision = revision
	return b.changesAt(revision)
}

// changesAt compares the list last read, which is that of a revision, with what is held.
func (b *listBook) changesAt(revision uint64) []wire.ListedEntry {
	order := int64(revision) * ordersPerRevision
	var changes []wire.ListedEntry
	for _, node := range allNodes(b.read, b.entries) {
		held := b.entries[node]
		switch later := held.Order >= order+ordersPerRevision; {
		case later:
		case slices.Equal(held.Members, b.read[node]):
			if held.Order < order {
				held.Node, held.Order = node, order
				b.entries[node] = held
			}
		default:
			changes = append(changes, wire.ListedEntry{Node: node, Members: b.read[node], Order: max(order, held.Order+1)})
		}
	}
	return changes
}

// changesSince compares the list last read, of which the platform tells no revision, with
// the one read before, or with what is held if there is none. An entry that stayed the
// same is no news: another reader may have read a later one.
func (b *listBook) changesSince(before map[membership.NodeID][]membership.ListedMember, readAt int64) []wire.ListedEntry {
	if before == nil {
		before = make(map[membership.NodeID][]membership.ListedMember, len(b.entries))
		for node, entry := range b.entries {
			before[node] = entry.Members
		}
	}
	var changes []wire.ListedEntry
	for _, node := range allNodes(b.read, before) {
		if slices.Equal(b.read[node], before[node]) {
			continue
		}
		entry := wire.ListedEntry{Node: node, Members: b.read[node]}
		entry.Order = max(readAt, b.entries[node].Order+1)
		changes = append(changes, entry)
	}
	return changes
}

func allNodes[A, B any](a map[membership.NodeID]A, b map[membership.NodeID]B) []membership.NodeID {
	nodes := slices.Collect(maps.Keys(a))
	for node := range b {
		if _, both := a[node]; !both {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// mergeListed takes list entries from a link, or the own ones from link 0, and
// passes on those that are new.
func (e *Engine) mergeListed(entries []wire.ListedEntry, from LinkID) {
	var listed []membership.ListedMember
	var unlisted []membership.NodeID
	urgent, news := false, false
	for _, entry := range entries {
		if !e.list.merge(entry) {
			e.outbox.listed.heard(entry.Node, func(held wire.ListedEntry) bool {
				return slices.Equal(held.Members, entry.Members)
			}, from)
			continue
		}
		news = true
		e.outbox.listed.put(entry.Node, entry, from)
		listed = append(listed, entry.Members...)
		if len(entry.Members) == 0 {
			unlisted = append(unlisted, entry.Node)
		}
		urgent = urgent || slices.ContainsFunc(entry.Members, isLeaving)
	}
	if !news {
		return
	}
	if e.table.MergeListChanges(listed, unlisted, e.now) {
		e.publishSelf()
	}
	e.recordsChanged(urgent)
}

func isLeaving(member membership.ListedMember) bool { return member.State == membership.ListedLeaving }
