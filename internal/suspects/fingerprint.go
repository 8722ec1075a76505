// Package suspects identifies requests that crash the instances that run them. It keeps
// records, replicated to all nodes, of the requests that were in progress when instances
// crashed, and decides which of those requests may be sent again.
package suspects

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
)

// FingerprintBytes is the size of a Fingerprint. Half of a SHA-256 hash is enough to make it
// infeasible to craft a request with the fingerprint of another one.
const FingerprintBytes = sha256.Size / 2

// Fingerprint identifies all requests with the same method, host, target and body. It leaves
// out what differs when a request is repeated: its ID, its deadline, and the node and service
// that it comes from.
type Fingerprint [FingerprintBytes]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{method, host, target} {
		var length [binary.MaxVarintLen64]byte
		_, _ = hash.Write(binary.AppendUvarint(length[:0], uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:FingerprintBytes])
}

// ParseFingerprint parses the format that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != FingerprintBytes {
		return Fingerprint{}, eris.Errorf("%q is no fingerprint: %d hexadecimal digits", text, 2*FingerprintBytes)
	}
	return Fingerprint(decoded), nil
}

// String returns the fingerprint in hexadecimal digits, as it is logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
