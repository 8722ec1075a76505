package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts a table's records are split into by name, so
// that two tables can find their differences without sending all records.
const Buckets = 64

func bucketOf(node NodeID) int { return int(xxhash.Sum64String(string(node)) % Buckets) }

// Digest returns a number that is equal for tables that hold the same records
// and suspicions, in whatever order they came. Ended nodes do not count.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, bucket := range t.buckets {
		sum += bucket
	}
	return sum
}

// BucketDigests returns the digest of each bucket.
func (t *Table) BucketDigests() [Buckets]uint64 { return t.buckets }

// DifferingBuckets returns the buckets in which the table differs from another
// one, whose bucket digests are given. Missing ones count as empty.
func (t *Table) DifferingBuckets(other []uint64) []int {
	var differing []int
	for bucket, digest := range t.buckets {
		var theirs uint64
		if bucket < len(other) {
			theirs = other[bucket]
		}
		if digest != theirs {
			differing = append(differing, bucket)
		}
	}
	return differing
}

// RecordsIn returns the records of the buckets, tombstones included, for a table
// that differs there. Numbers that are no bucket are skipped.
func (t *Table) RecordsIn(buckets []int) []Record {
	var records []Record
	t.eachIn(buckets, func(e *entry) {
		if !e.buried && !e.secondHand {
			records = append(records, e.record)
		}
	})
	return records
}

// ObservationsIn returns the standing suspicions of the buckets. They belong
// beside RecordsIn: a node that other tables take for unreachable or gone learns
// of it this way, and refutes it.
func (t *Table) ObservationsIn(buckets []int) []Observation {
	var observations []Observation
	t.eachIn(buckets, func(e *entry) {
		if e.buried || e.suspected() {
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

// recount brings the digest of the entry's bucket up to date.
func (t *Table) recount(e *entry) {
	t.buckets[e.bucket] -= e.counted
	e.counted = e.digest()
	t.buckets[e.bucket] += e.counted
}
