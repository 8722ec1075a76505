package idempotency

import (
	"context"
	"sync"
	"time"
)

// Local is a Memory in this process only: it is lost when the process ends, and a
// repeat that reaches another process counts as the first request there.
type Local struct {
	mu    sync.Mutex
	table *table
}

// NewLocal returns an empty Local.
func NewLocal(limits Limits) *Local { return &Local{table: newTable(limits)} }

// Begin implements Memory.
func (l *Local) Begin(ctx context.Context, key Key, fingerprint Fingerprint) (Claim, error) {
	for {
		claim, running, err := l.try(key, fingerprint)
		if running == nil {
			return claim, err
		}
		select {
		case <-running:
		case <-ctx.Done():
			return Claim{Verdict: Running}, nil
		}
	}
}

// try returns the claim, or, while the first request runs, the channel that is closed
// when it ends.
func (l *Local) try(key Key, fingerprint Fingerprint) (Claim, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, isNew, err := l.table.begin(key, fingerprint, time.Now())
	switch {
	case err != nil:
		return Claim{}, nil, err
	case isNew:
		return Claim{Verdict: First, Run: &localRun{memory: l, entry: found}}, nil, nil
	case found.fingerprint != fingerprint:
		return Claim{Verdict: Conflict}, nil, nil
	case found.verdict == Running:
		return Claim{}, found.ended, nil
	default:
		return Claim{Verdict: found.verdict, Response: found.response}, nil, nil
	}
}

// Size returns the number of remembered keys and the bytes that their responses take.
func (l *Local) Size() (entries, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.table.entries), l.table.bytes
}

type localRun struct {
	memory *Local
	entry  *entry
	once   sync.Once
}

// End implements Run.
func (r *localRun) End(ending Ending, response *Response) {
	r.once.Do(func() {
		r.memory.mu.Lock()
		defer r.memory.mu.Unlock()
		r.memory.table.end(r.entry, ending, response, time.Now())
	})
}
