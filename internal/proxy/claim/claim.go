// Package claim makes a request with an Idempotency-Key run at most once even if a
// node that remembers it fails: before the request runs, its node claims the key at the
// key's replicas, and nearly all of them must grant it. Memory is a idempotency.Memory that
// claims keys; Replica grants keys to the nodes of the fleet.
//
// # Guarantees
//
// A key's replicas are the first 5 nodes by rendezvous hashing; a claim needs 4
// grants. So one replica may be unreachable when a key is claimed, and two that
// granted it may be lost or replaced while the key is remembered: a second claim needs
// 4 of 5 too, and at least 2 replicas still know the first claim, so that at most 3
// can grant the second. In general, if g of N replicas granted the first claim and the
// second needs n, the second fails while N - (g - lost) < n. A small fleet has fewer
// replicas. With 3 or 4, all but one must grant; with fewer, all:
//
//	replicas  needed  losses survived   if all granted
//	5         4       2                 3
//	4         3       1                 2
//	3         2       0                 1
//	2         2       1                 1
//	1         1       0                 0
//
// There is no guarantee if more replicas than that are lost while the key is
// remembered. A replica that is in the set of only one of two claimers counts as lost.
// Members that are known only from the platform's list count in the size of the set
// but cannot grant, so that a node that has just started and knows few others wins no
// claim.
//
// A claim that cannot win is released at all replicas. A release that is lost leaves a
// key blocked, never free.
package claim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/wire"
)

// minSizeToMissOne is the smallest set of which one replica may be missing.
const minSizeToMissOne = 3

// address identifies a replica and where it is reached.
type address struct {
	node membership.NodeID
	peer string // IP:port
}

// replicaSet holds the replicas of a key.
type replicaSet struct {
	replicas []address
	needed   int // number of grants that a claim needs
}

// replicasOf returns the first nodes of the view by rendezvous hashing. Suspected and
// draining nodes are included, so that the set is stable.
func replicasOf(key wire.ClaimKey, view *membership.View, count int) replicaSet {
	type ranked struct {
		address
		rank uint64
	}
	var candidates []ranked
	for member := range view.All() {
		record := &member.Record
		if record.Incarnation == 0 || record.State == membership.StateGone || record.PeerAddress == "" {
			continue
		}
		candidates = append(candidates, ranked{address{record.Node, record.PeerAddress}, rank(key, record.Node)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.node, b.node))
	})
	set := replicaSet{needed: quorumSize(min(count, view.Len()))}
	for _, candidate := range candidates[:min(count, len(candidates))] {
		set.replicas = append(set.replicas, candidate.address)
	}
	return set
}

func rank(key wire.ClaimKey, node membership.NodeID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(key[:])
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}

// quorumSize returns how many grants a claim needs from a set of that size.
func quorumSize(size int) int {
	if size >= minSizeToMissOne {
		return size - 1
	}
	return max(size, 1)
}

// keyOf hashes a key together with its route.
func keyOf(key idempotency.Key) wire.ClaimKey {
	text := binary.AppendUvarint(nil, uint64(len(key.Route)))
	text = append(text, key.Route...)
	text = append(text, key.Value...)
	return sha256.Sum256(text)
}
