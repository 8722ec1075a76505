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

// maxListEntries bounds how far entries from peers can make the list grow.
const maxListEntries = 20_000

// listBuckets is the number of buckets that the entries are hashed into by node. Two
// nodes find where their lists differ by comparing the digests of the buckets.
const listBuckets = 16

// listReplica is this node's copy of the platform's membership list, as nodes pass it on to
// each other. It holds the latest entry for each node, by the revision of the list. Where the
// platform gives no revisions, entries are ordered by the time at which readers read them.
type listReplica struct {
	entries map[membership.NodeID]wire.ListedEntry
	buckets [listBuckets]uint64
	// read is the list as this process last read it, nil if it never did. revision is the
	// list's revision, zero if the platform gives none.
	read     map[membership.NodeID][]membership.ListedMember
	revision uint64
}

// ordersPerRevision leaves room in the order for changes of entries within one revision of
// the list, such as entries that are no longer awaited.
const ordersPerRevision = 1024

func newListReplica() listReplica {
	return listReplica{entries: make(map[membership.NodeID]wire.ListedEntry)}
}

func listBucket(node membership.NodeID) int {
	return int(xxhash.Sum64String(string(node)) % listBuckets)
}

// entryDigest returns a hash of an entry's content, which leaves out its order. It is zero
// for a node that is not listed.
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

// merge stores an entry if it is later than the one held and its content differs, and
// reports whether it did. A later entry with the same content only raises the order of the
// one held, so that an entry from between the two is ignored when it arrives late.
func (b *listReplica) merge(entry wire.ListedEntry) bool {
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

// digest returns a hash of the whole list.
func (b *listReplica) digest() uint64 {
	var sum uint64
	for _, bucket := range b.buckets {
		sum += bucket
	}
	return sum
}

// entriesDiffering returns the entries in the buckets whose digests differ from a peer's.
func (b *listReplica) entriesDiffering(theirs []uint64) []wire.ListedEntry {
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

// storeRead stores a list that was just read and returns the entries that changed.
func (b *listReplica) storeRead(list []membership.ListedMember, revision uint64, now time.Time) []wire.ListedEntry {
	before := b.read
	b.read = make(map[membership.NodeID][]membership.ListedMember, len(list))
	for _, member := range list {
		b.read[member.Node] = append(b.read[member.Node], member)
	}
	b.revision = max(b.revision, revision)
	if revision == 0 {
		return b.changesSinceRead(before, now.UnixMilli())
	}
	return b.changesAtRevision(revision)
}

// sampledEntries returns the entries of a sample of the list at a revision. Nodes that are missing in
// it may be listed all the same.
func sampledEntries(sample []membership.ListedMember, revision uint64) []wire.ListedEntry {
	byNode := make(map[membership.NodeID][]membership.ListedMember, len(sample))
	for _, member := range sample {
		byNode[member.Node] = append(byNode[member.Node], member)
	}
	entries := make([]wire.ListedEntry, 0, len(byNode))
	for _, node := range slices.Sorted(maps.Keys(byNode)) {
		entries = append(entries, wire.ListedEntry{Node: node, Members: byNode[node], Order: int64(revision) * ordersPerRevision})
	}
	return entries
}

// storeUnchanged records that the list last read is still current, possibly at a later revision,
// and returns the entries that changed: peers may have sent entries of a revision between
// the two.
func (b *listReplica) storeUnchanged(revision uint64) []wire.ListedEntry {
	if revision = max(revision, b.revision); revision == 0 || b.read == nil {
		return nil
	}
	b.revision = revision
	return b.changesAtRevision(revision)
}

// changesAtRevision returns the entries in which the list last read, at a given revision,
// differs from the entries held. Held entries of a later revision stay.
func (b *listReplica) changesAtRevision(revision uint64) []wire.ListedEntry {
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

// changesSinceRead returns the entries that changed between the two latest reads of a list
// without revisions; without an earlier read, those that differ from the entries held. An entry
// that did not change between the two reads is left out: another reader may have read a later one.
func (b *listReplica) changesSinceRead(before map[membership.NodeID][]membership.ListedMember, readAt int64) []wire.ListedEntry {
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

// mergeListed merges list entries from a link, or those that this node read from link 0,
// and queues the changed ones for the other links.
func (e *Engine) mergeListed(entries []wire.ListedEntry, from LinkID) {
	var listed []membership.ListedMember
	var unlisted []membership.NodeID
	urgent, changed := false, false
	for _, entry := range entries {
		if !e.list.merge(entry) {
			e.outbox.listed.markKnown(entry.Node, func(held wire.ListedEntry) bool {
				return slices.Equal(held.Members, entry.Members)
			}, from)
			continue
		}
		changed = true
		e.outbox.listed.put(entry.Node, entry, from)
		listed = append(listed, entry.Members...)
		if len(entry.Members) == 0 {
			unlisted = append(unlisted, entry.Node)
		}
		urgent = urgent || slices.ContainsFunc(entry.Members, isLeaving)
	}
	if !changed {
		return
	}
	if e.table.MergeListChanges(listed, unlisted, e.now) {
		e.publishSelf()
	}
	e.recordsChanged(urgent)
}

func isLeaving(member membership.ListedMember) bool { return member.State == membership.ListedLeaving }
