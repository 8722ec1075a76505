// Package snapshot defines the immutable configuration of a node: the document published by the
// platform, its version, the delta between two documents, the compiled snapshot with its consistency
// check, and the store of the snapshot in force. It does no I/O and does not depend on the syntax of
// policies (package policy) or on peers (package distribution).
package snapshot

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Revision orders the states of a source. It consists of the number that the source gave to a state
// and, in the higher bits, the epoch of the source's history: a source restored from a backup of
// itself assigns numbers again, in the next epoch. A revision of a later epoch is higher than any of
// an earlier one. Zero means "none".
//
// In epoch 0 a revision equals the number. In later epochs the lowest bit marks a document in which a
// node keeps a newer configuration; it is ordered right after the source's document of that number.
type Revision uint64

const (
	// numberBits is the size in bits of a revision's number in epochs above 0. With the lowest bit
	// and the 14 bits of the epoch a revision fits exactly into a double, which JSON and metrics use.
	numberBits           = 38
	keptConfigurationBit = 1
	epochShift           = numberBits + 1
	// MaxNumber is the highest number of a state within an epoch.
	MaxNumber = 1<<numberBits - 1
	// MaxEpoch is the highest epoch.
	MaxEpoch = 1<<14 - 1
)

// NewRevision returns the revision of the state with a number within an epoch of the source. Both must
// be in range.
func NewRevision(epoch, number uint64) Revision {
	if epoch == 0 {
		return Revision(number)
	}
	return Revision(epoch<<epochShift | number<<1)
}

// Epoch returns the epoch: how often the source's history was replaced before the state.
func (r Revision) Epoch() uint64 { return uint64(r) >> epochShift }

// Number returns the number that the source gave to the state, unique within its epoch.
func (r Revision) Number() uint64 {
	if r.Epoch() == 0 {
		return uint64(r)
	}
	return uint64(r) >> 1 & MaxNumber
}

// Next returns the revision with the next number in the same epoch.
func (r Revision) Next() Revision { return NewRevision(r.Epoch(), r.Number()+1) }

// Unmarked returns the revision of the source's own document, without the mark of a kept configuration.
func (r Revision) Unmarked() Revision { return NewRevision(r.Epoch(), r.Number()) }

// KeepsConfiguration reports whether the document of the revision keeps a configuration that is newer than the
// one the source had in that state.
func (r Revision) KeepsConfiguration() bool { return r.Epoch() > 0 && r&keptConfigurationBit > 0 }

// withKeptConfiguration returns the revision of the document that keeps a newer configuration.
func (r Revision) withKeptConfiguration() Revision {
	if r.Epoch() == 0 {
		return r // a source that was never restored has no older configuration
	}
	return r | keptConfigurationBit
}

// keptConfigurationSuffix marks a kept configuration in the text form of a revision.
const keptConfigurationSuffix = "+"

// String returns the number, preceded by the epoch and a colon if the epoch is not 0, such as 2:17,
// and followed by a plus sign if a newer configuration is kept.
func (r Revision) String() string {
	if r.Epoch() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	text := fmt.Sprintf("%d:%d", r.Epoch(), r.Number())
	if r.KeepsConfiguration() {
		text += keptConfigurationSuffix
	}
	return text
}

// ParseRevision parses the text form returned by Revision.String.
func ParseRevision(text string) (Revision, error) {
	unmarked, isKept := strings.CutSuffix(text, keptConfigurationSuffix)
	epochText, numberText, hasEpoch := strings.Cut(unmarked, ":")
	if !hasEpoch {
		epochText, numberText = "0", text
	}
	epoch, epochErr := strconv.ParseUint(epochText, 10, 64)
	number, numberErr := strconv.ParseUint(numberText, 10, 64)
	if epochErr != nil || numberErr != nil || epoch > MaxEpoch || number > MaxNumber || isKept && epoch == 0 {
		return 0, fmt.Errorf("%q is not a revision: want a number, or an epoch and a number as in 2:17", text)
	}
	revision := NewRevision(epoch, number)
	if isKept {
		revision = revision.withKeptConfiguration()
	}
	return revision, nil
}

// hashSize is the size of a ContentHash in bytes.
const hashSize = 16

// ContentHash is the first 16 bytes of the SHA-256 over a document's resources.
type ContentHash [hashSize]byte

// String returns the hash in lower-case hexadecimal.
func (h ContentHash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in lower-case hexadecimal.
func (h ContentHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes a hash written by MarshalText.
func (h *ContentHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != hashSize {
		return fmt.Errorf("content hash: want %d hexadecimal digits, got %d", 2*hashSize, len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Version identifies a document by its revision and the hash of its content. The zero Version means
// "no document".
type Version struct {
	Revision Revision    `json:"revision"`
	Hash     ContentHash `json:"hash"`
}

// IsZero reports whether v identifies no document.
func (v Version) IsZero() bool { return v == Version{} }

// Newer reports whether v has a higher revision than other. Two versions of one revision with
// different hashes are in conflict, and neither is newer.
func (v Version) Newer(other Version) bool { return v.Revision > other.Revision }

// Conflicts reports whether v and other have the same revision and different content.
func (v Version) Conflicts(other Version) bool {
	return v.Revision == other.Revision && v.Hash != other.Hash
}

// String returns the revision and the first bytes of the hash, for logs and tables.
func (v Version) String() string {
	const shownBytes = 4
	return fmt.Sprintf("%s/%s", v.Revision, hex.EncodeToString(v.Hash[:shownBytes]))
}
