// Package suspects finds the requests that crash the instances which run them. It holds
// which requests were in progress when instances crashed, on all nodes alike, and tells
// which of them must not be sent again.
package suspects

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
)

// FingerprintBytes is the size of a Fingerprint. Half of a SHA-256 keeps it out of reach
// to make a request that has another's.
const FingerprintBytes = sha256.Size / 2

// Fingerprint stands for all requests of the same content: method, host, target and body.
// What differs each time that a request comes again (its id, its deadline, the node and the
// service beside which it starts) is left out.
type Fingerprint [FingerprintBytes]byte

// Of returns the fingerprint of a request.
func Of(method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range []string{method, host, target} {
		var length [binary.MaxVarintLen64]byte
		_, _ = hash.Write(binary.AppendUvarint(length[:0], uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:FingerprintBytes])
}

// ParseFingerprint reads a fingerprint as String writes it.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != FingerprintBytes {
		return Fingerprint{}, eris.Errorf("%q is no fingerprint: %d hexadecimal digits", text, 2*FingerprintBytes)
	}
	return Fingerprint(decoded), nil
}

// String returns the fingerprint in hexadecimal digits, as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
