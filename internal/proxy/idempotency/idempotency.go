// Package idempotency remembers requests by their Idempotency-Key, so that a request that
// may run only once does not run again when its caller repeats it: the repeat gets the
// first response or is refused. Memory is the interface; Local remembers keys in this
// process, and a replicated implementation can take its place.
package idempotency

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrFull is returned by a Memory that cannot remember another key. The request must
// then be refused, as without the memory it might run twice.
var ErrFull = eris.New("the memory of idempotency keys is full")

// ErrNoQuorum is returned by a replicated Memory if too few replicas granted the key.
// The request did not run, and the key is free again.
var ErrNoQuorum = eris.New("too few replicas granted the idempotency key")

// MaxKeyBytes bounds the length of an Idempotency-Key.
const MaxKeyBytes = 256

// Key identifies a request by a caller's key on one route.
type Key struct{ Route, Value string }

// Fingerprint tells whether two requests with the same key are equal.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes the method, the request target, the declared length (-1 if not
// declared) and the start of the body.
func NewFingerprint(method, target string, length int64, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{method, target} {
		digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
		digest.Write([]byte(part))
	}
	digest.Write(binary.AppendVarint(nil, length))
	digest.Write(body)
	return Fingerprint(digest.Sum(nil))
}

// Response is a remembered response of a backend. It must not be changed.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// size returns the approximate number of bytes that a response takes in memory.
func (r *Response) size() int {
	total := len(r.Body)
	for _, header := range []http.Header{r.Header, r.Trailer} {
		for name, values := range header {
			total += len(name)
			for _, value := range values {
				total += len(value)
			}
		}
	}
	return total
}

// Verdict is the relation of a request to the first one with its key.
type Verdict uint8

// The verdicts.
const (
	// First: the request is the first and runs; Claim.Run must be ended.
	First Verdict = iota + 1
	// Running: the first request still ran when the wait for it ended.
	Running
	// Answered: Claim.Response is the response to the first request.
	Answered
	// Done: the first request was completed, but its response is not kept.
	Done
	// Lost: it is unknown whether the first request ran.
	Lost
	// Conflict: the key was used with a different request.
	Conflict
)

// String returns the verdict as a metric label.
func (v Verdict) String() string {
	names := [...]string{
		First: "first", Running: "running", Answered: "answered",
		Done: "done", Lost: "lost", Conflict: "conflict",
	}
	if int(v) >= len(names) || names[v] == "" {
		return "invalid"
	}
	return names[v]
}

// Claim is a Memory's decision on a request with a key.
type Claim struct {
	Verdict  Verdict
	Run      Run       // set with First
	Response *Response // set with Answered
}

// Ending is how a first request ended.
type Ending uint8

// The endings.
const (
	// EndedNotRun frees the key: a repeat runs.
	EndedNotRun Ending = iota + 1
	// EndedDone keeps the key, and the response if there is one.
	EndedDone
	// EndedUnknown keeps the key: a repeat is refused, as it might run a second time.
	EndedUnknown
)

// Run is the permission to run the first request with a key. The caller must end it;
// only the first call of End has an effect.
type Run interface {
	// End records how the request ended. response may be nil.
	End(ending Ending, response *Response)
}

// Memory remembers keys. It is safe for concurrent use.
type Memory interface {
	// Begin decides on a request with a key. While the first request with the key
	// runs, it waits until that ends or ctx does; the deadline of ctx is the
	// request's. If it returns an error, the key could not be remembered and the
	// request must not run.
	Begin(ctx context.Context, key Key, fingerprint Fingerprint) (Claim, error)
}
