// Package snapshot owns the immutable configuration of a node: the document
// published by the platform, the version that names it, the delta between two
// documents, the compiled snapshot, its closure check and the store that holds
// the one in force. It does no input or output and knows nothing of policies'
// syntax (package policy) or of peers (package distribution).
package snapshot

import (
	"encoding/hex"
	"fmt"
)

// Revision is the number the platform gives to one state of its configuration.
// Revisions only grow. Zero means "none".
type Revision uint64

// hashSize is the length of a ContentHash in bytes.
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

// Version names one document: its revision and the hash of its content.
// The zero Version means "holds nothing".
type Version struct {
	Revision Revision    `json:"revision"`
	Hash     ContentHash `json:"hash"`
}

// IsZero reports whether v names no document.
func (v Version) IsZero() bool { return v == Version{} }

// Newer reports whether v has a higher revision than other. Two versions of one
// revision with different hashes are in conflict and neither is newer.
func (v Version) Newer(other Version) bool { return v.Revision > other.Revision }

// Conflicts reports whether v and other are the same revision with other content.
func (v Version) Conflicts(other Version) bool {
	return v.Revision == other.Revision && v.Hash != other.Hash
}

// String returns "revision/hash prefix" for logs and tables.
func (v Version) String() string {
	const shownBytes = 4
	return fmt.Sprintf("%d/%s", v.Revision, hex.EncodeToString(v.Hash[:shownBytes]))
}
