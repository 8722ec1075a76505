// Package claim makes a request with an Idempotency-Key run once also when the
// node that remembers it dies: before the request runs, its node claims the key at
// the key's replicas and needs nearly all of them. Memory is a repeat.Memory that
// does so; Replica grants keys to the nodes of the fleet.
//
// # What is promised
//
// A key's replicas are the first 5 nodes by rendezvous hash; a claim needs 4 of
// them. So one replica may be unreachable when a key is claimed, and two that
// granted it may be lost or replaced afterwards within the time of the memory:
// a second claim needs 4 of 5 too, and at least 2 still know the first, so that no
// more than 3 can grant it. In general, of N replicas g granted the first claim
// and a second needs n: it fails while N - (g - lost) < n. A small fleet has fewer
// replicas. With 3 or 4 all but one must grant, with fewer all:
//
//	replicas  needed  losses survived   if all granted
//	5         4       2                 3
//	4         3       1                 2
//	3         2       0                 1
//	2         2       1                 1
//	1         1       0                 0
//
// It is not promised when more replicas than that are lost within the time of the
// memory, where a replica that only one of two claimers has in its set counts as
// lost. Members that only the platform's list names count in the size of the set
// but cannot grant, so that a node that has just started and knows few others
// claims nothing.
//
// A claim that cannot win is released at all replicas. A release that is lost
// leaves a key blocked, never free.
package claim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/repeat"
	"github.com/winchhead/winchhead/internal/wire"
)

// smallestQuorum is the size from which one replica may be missing.
const smallestQuorum = 3

// address is where a replica is asked.
type address struct {
	node membership.NodeID
	peer string // IP:port
}

// replicaSet is who remembers a key.
type replicaSet struct {
	replicas []address
	needed   int // grants
}

// replicasOf returns the first nodes of the view by rendezvous hash. Suspected and
// draining ones count, so that the set is stable.
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
	set := replicaSet{needed: needed(min(count, view.Len()))}
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

// needed returns how many grants a claim needs of a set of that size.
func needed(size int) int {
	if size >= smallestQuorum {
		return size - 1
	}
	return max(size, 1)
}

// keyOf hashes a key with its route.
func keyOf(key repeat.Key) wire.ClaimKey {
	text := binary.AppendUvarint(nil, uint64(len(key.Route)))
	text = append(text, key.Route...)
	text = append(text, key.Value...)
	return sha256.Sum256(text)
}
