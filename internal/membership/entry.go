package membership

import (
	"encoding/binary"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// suspectedDigest is XORed into the digest of a suspected record, so that it
// differs from that of the same record without suspicion.
const suspectedDigest = 0x9e3779b97f4a7c15

// entry is the state that a table holds for one node that has published a record.
// Times are elapsed times (see clock).
type entry struct {
	record Record
	hash   uint64
	bucket int
	// digested is what the entry currently adds to the digest of its bucket.
	digested uint64

	// startedAt is the earliest known time of the process of record.Incarnation.
	startedAt time.Duration
	// mergedAt is when record was merged.
	mergedAt time.Duration
	// replaced is set when the table knew an earlier process of the same node.
	replaced bool
	// neverAlive marks a tombstone of a node that the table never knew alive. It
	// rejects older records but is not passed on, so that tombstones die out.
	neverAlive bool

	// suspectedBy is the observer that raised the current suspicion, or empty.
	suspectedBy NodeID
	suspectedAt time.Duration

	listed     bool
	unlistedAt time.Duration
	// leaving is set while an entry of the list says that this process is leaving.
	leaving bool

	// presumedGone is set once the table considers the node gone although the node
	// has not published StateGone. A newer record clears it.
	presumedGone   bool
	presumedGoneAt time.Duration
}

func (e *entry) suspected() bool { return e.suspectedBy != "" }

// ended reports whether the node is gone, by its own record or as presumed by the
// table.
func (e *entry) ended() bool { return e.presumedGone || e.record.State == StateGone }

// digest returns what the entry adds to the digest of its bucket. Ended entries
// add nothing, because tables forget them at different times.
func (e *entry) digest() uint64 {
	switch {
	case e.ended():
		return 0
	case e.suspected():
		return e.hash ^ suspectedDigest
	default:
		return e.hash
	}
}

// observation returns a report that the node is considered unreachable or gone.
func (e *entry) observation(observer NodeID) Observation {
	return Observation{
		Subject:     e.record.Node,
		Incarnation: e.record.Incarnation,
		Sequence:    e.record.Sequence,
		Observer:    observer,
	}
}

// hashRecord hashes every field of the record.
func hashRecord(record Record) uint64 {
	buffer := make([]byte, 0, 256)
	for _, number := range [...]uint64{
		uint64(record.Incarnation), record.Sequence, uint64(record.State), uint64(record.Slots),
	} {
		buffer = binary.LittleEndian.AppendUint64(buffer, number)
	}
	for _, text := range [...]string{
		string(record.Node), record.Region, record.Zone,
		record.PeerAddress, record.DataAddress, record.Service,
	} {
		buffer = binary.AppendUvarint(buffer, uint64(len(text)))
		buffer = append(buffer, text...)
	}
	return xxhash.Sum64(buffer)
}

// intern replaces the record's strings by shared copies. Regions, zones and
// services recur in many records, and every string recurs in each table of the
// process.
func intern(record Record) Record {
	record.Node = NodeID(shared(string(record.Node)))
	record.Region = shared(record.Region)
	record.Zone = shared(record.Zone)
	record.PeerAddress = shared(record.PeerAddress)
	record.DataAddress = shared(record.DataAddress)
	record.Service = shared(record.Service)
	return record
}

func shared(text string) string { return unique.Make(text).Value() }
