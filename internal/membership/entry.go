package membership

import (
	"encoding/binary"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

// suspectedDigest sets the digest of a suspected record apart from that of the
// same record unsuspected.
const suspectedDigest = 0x9e3779b97f4a7c15

// entry is what a table holds of one node that has published a record. Times are
// in time awake (see clock).
type entry struct {
	record Record
	hash   uint64
	bucket int
	// counted is what the entry adds to the digest of its bucket.
	counted uint64

	// startedAt is the earliest sign of the process of record.Incarnation.
	startedAt time.Duration
	// heardAt is when record was merged.
	heardAt time.Duration
	// replaced is set when the table knew an earlier process of the same node.
	replaced bool
	// secondHand marks a tombstone of a node that the table never knew alive. It
	// guards against older records but is not passed on, so that tombstones end.
	secondHand bool

	// suspectedBy is the observer of the standing suspicion, or empty.
	suspectedBy NodeID
	suspectedAt time.Duration

	listed     bool
	unlistedAt time.Duration
	// leaving is set while an entry of the list says that this process leaves.
	leaving bool

	// buried is set once the table takes the node for gone without its own word.
	// A record with a higher sequence ends it.
	buried   bool
	buriedAt time.Duration
}

func (e *entry) suspected() bool { return e.suspectedBy != "" }

// ended reports whether the node is gone, by its own word or by the table's.
func (e *entry) ended() bool { return e.buried || e.record.State == StateGone }

// digest is what the entry adds to the digest. Ended entries add nothing, since
// tables forget them at different times.
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

// observation tells others that the node is taken for unreachable or gone.
func (e *entry) observation(observer NodeID) Observation {
	return Observation{
		Subject:     e.record.Node,
		Incarnation: e.record.Incarnation,
		Sequence:    e.record.Sequence,
		Observer:    observer,
	}
}

// hashRecord covers every field of the record.
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

// intern replaces the record's strings by shared copies: regions, zones and
// services recur in many records, and all of them in the tables of one process.
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
