// Package repeat remembers requests by their Idempotency-Key, so that a caller's
// own repeat of a request that may run only once doesn't run again: it gets the
// first's answer or is refused. Memory is the contract; Local keeps the memory in
// this process, and a replicated one can take its place.
package repeat

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrFull is the error of a Memory that cannot remember one more key. The request
// must then be refused: run without a memory it might run twice.
var ErrFull = eris.New("the memory of idempotency keys is full")

// ErrNoQuorum is the error of a replicated Memory when too few replicas granted
// the key. The request did not run, and the key is free again.
var ErrNoQuorum = eris.New("too few replicas granted the idempotency key")

// MaxKeyBytes bounds an Idempotency-Key.
const MaxKeyBytes = 256

// Key names a request: a caller's key on one route.
type Key struct{ Route, Value string }

// Fingerprint tells whether two requests with one key are the same.
type Fingerprint [sha256.Size]byte

// NewFingerprint covers the method, the request target, the length as declared
// (-1: not declared) and the start of the body.
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

// Answer is a remembered answer of a back end. It must not be changed.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// size is what an answer takes in memory, in bytes, roughly.
func (a *Answer) size() int {
	total := len(a.Body)
	for _, header := range []http.Header{a.Header, a.Trailer} {
		for name, values := range header {
			total += len(name)
			for _, value := range values {
				total += len(value)
			}
		}
	}
	return total
}

// Verdict is how a request stands to the first with its key.
type Verdict uint8

// The verdicts.
const (
	// First: the request is the first and runs; Claim.Run must be ended.
	First Verdict = iota + 1
	// Running: the first still ran when the time to wait for it was over.
	Running
	// Answered: Claim.Answer is the first's answer.
	Answered
	// Done: the first ran to its end and its answer isn't kept.
	Done
	// Lost: nobody knows whether the first ran.
	Lost
	// Conflict: the key was used with another request.
	Conflict
)

// String returns the verdict for metrics.
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

// Claim is the answer to a request with a key.
type Claim struct {
	Verdict Verdict
	Run     Run     // with First
	Answer  *Answer // with Answered
}

// Ending is how a first request ended.
type Ending uint8

// The endings.
const (
	// EndedNotRun frees the key: a repeat runs.
	EndedNotRun Ending = iota + 1
	// EndedDone keeps the key, with the answer if there is one.
	EndedDone
	// EndedUnknown keeps the key: a repeat is refused as it might run twice.
	EndedUnknown
)

// Run is the right to run the first request with a key. It must be ended; only
// the first End counts.
type Run interface {
	// End tells how the request ended. answer may be nil.
	End(ending Ending, answer *Answer)
}

// Memory remembers keys. It is safe for concurrent use.
type Memory interface {
	// Begin tells how a request stands to the first with its key. While the first
	// runs it waits for its end, or until ctx ends, whose deadline is the request's. An error means that the key
	// could not be remembered, and that the request must not run.
	Begin(ctx context.Context, key Key, fingerprint Fingerprint) (Claim, error)
}
