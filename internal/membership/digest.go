package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that a table's records are hashed into by node
// name, so that two tables can find their differences without exchanging all
// records.
const Buckets = 64

func bucketOf(node NodeID) int { return int(xxhash.Sum64String(string(node)) % Buckets) }

// Digest returns a number that is equal for tables that hold the same records
// and suspicions, in whatever order they arrived. Ended nodes are left out.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, bucket := range t.buckets {
		sum += bucket
	}
	return sum
}

// BucketDigests returns the digest of each bucket.
func (t *Table) BucketDigests() [Buckets]uint64 { return t.buckets }

// DifferingBuckets returns the buckets whose digests differ from those of another
// table, which are given. Missing digests count as empty buckets.
func (t *Table) DifferingBuckets(other []uint64) []int {
	var differing []int
	for bucket, digest := range t.buckets {
		var remote uint64
		if bucket < len(other) {
			remote = other[bucket]
		}
		if digest != remote {
			differing = append(differing, bucket)
		}
	}
	return differing
}

// RecordsIn returns the records in the buckets, tombstones included, to be sent to
// a table that differs there. Bucket numbers out of range are skipped.
func (t *Table) RecordsIn(buckets []int) []Record {
	var records []Record
	t.eachIn(buckets, func(e *entry) {
		if !e.presumedGone && !e.neverAlive {
			records = append(records, e.record)
		}
	})
	return records
}

// ObservationsIn returns the unrefuted suspicions in the buckets. They are sent
// together with RecordsIn, so that a node that other tables consider unreachable
// or gone learns of it and refutes it.
func (t *Table) ObservationsIn(buckets []int) []Observation {
	var observations []Observation
	t.eachIn(buckets, func(e *entry) {
		if e.presumedGone || e.suspected() {
			observations = append(observations, e.observation(t.self.Node))
		}
	})
	return observations
}

// eachIn visits the entries of the buckets, sorted by NodeID.
func (t *Table) eachIn(buckets []int, visit func(*entry)) {
	var wanted [Buckets]bool
	for _, bucket := range buckets {
		if bucket >= 0 && bucket < Buckets {
			wanted[bucket] = true
		}
	}
	var found []*entry
	for _, e := range t.entries {
		if wanted[e.bucket] {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.record.Node, b.record.Node) })
	for _, e := range found {
		visit(e)
	}
}

// updateDigest updates the digest of the entry's bucket.
func (t *Table) updateDigest(e *entry) {
	t.buckets[e.bucket] -= e.digested
	e.digested = e.digest()
	t.buckets[e.bucket] += e.digested
}
