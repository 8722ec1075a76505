package claim

import (
	"container/heap"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxKeys bounds the keys that a replica remembers, at some 200 bytes each.
	maxKeys = 1 << 17
	// releaseMemory is how long a release is remembered, against a claim of the
	// same holder that arrives after it.
	releaseMemory = 30 * time.Second
	// longestHold bounds what a claimer may ask for.
	longestHold = 48 * time.Hour
)

// grant is one key of a table.
type grant struct {
	key         wire.ClaimKey
	fingerprint wire.ClaimFingerprint
	holder      wire.ClaimHolder
	runsUntil   time.Time
	until       time.Time
	released    bool // free, and not to be granted to holder again
	index       int  // in byEnd
}

// table is what a replica remembers: a state machine without goroutines and
// clock. It forgets nothing early: when it is full it refuses.
type table struct {
	limit  int
	grants map[wire.ClaimKey]*grant
	byEnd  endHeap
}

func newTable(limit int) *table {
	return &table{limit: limit, grants: map[wire.ClaimKey]*grant{}}
}

// handle answers a request; the reply has the request's number.
func (t *table) handle(request *wire.ClaimRequest, now time.Time) wire.ClaimReply {
	t.expire(now)
	reply := wire.ClaimReply{Number: request.Number, Verdict: wire.ClaimFree}
	known := t.grants[request.Key]
	switch request.Action {
	case wire.ClaimActionClaim:
		reply.Verdict = t.claim(known, request, now)
	case wire.ClaimActionRelease:
		t.release(known, request, now)
	default:
		if known != nil && !known.released {
			reply.Verdict = wire.ClaimTaken
		}
	}
	if reply.Verdict == wire.ClaimTaken || reply.Verdict == wire.ClaimConflict {
		reply.Holder = known.holder
		reply.Running = now.Before(known.runsUntil)
	}
	return reply
}

func (t *table) claim(known *grant, request *wire.ClaimRequest, now time.Time) wire.ClaimVerdict {
	switch {
	case known == nil:
		return t.grantNew(request, now)
	case known.holder == request.Holder && known.released:
		return wire.ClaimReleased
	case known.released:
		t.remove(known)
		return t.grantNew(request, now)
	case known.holder == request.Holder:
		return wire.ClaimGranted
	case known.fingerprint != request.Fingerprint:
		return wire.ClaimConflict
	default:
		return wire.ClaimTaken
	}
}

func (t *table) grantNew(request *wire.ClaimRequest, now time.Time) wire.ClaimVerdict {
	created := &grant{
		key:         request.Key,
		fingerprint: request.Fingerprint,
		holder:      request.Holder,
		runsUntil:   now.Add(bounded(request.RunsFor)),
		until:       now.Add(bounded(request.Hold)),
	}
	if !t.add(created) {
		return wire.ClaimFull
	}
	return wire.ClaimGranted
}

func bounded(milliseconds int64) time.Duration {
	milliseconds = min(max(milliseconds, 0), longestHold.Milliseconds())
	return time.Duration(milliseconds) * time.Millisecond
}

// release frees the key if the holder has it, and remembers the release if nobody
// has it.
func (t *table) release(known *grant, request *wire.ClaimRequest, now time.Time) {
	if known != nil && known.holder != request.Holder && !known.released {
		return
	}
	if known != nil {
		t.remove(known)
	}
	t.add(&grant{key: request.Key, holder: request.Holder, until: now.Add(releaseMemory), released: true})
}

func (t *table) add(created *grant) bool {
	if len(t.grants) >= t.limit {
		return false
	}
	t.grants[created.key] = created
	heap.Push(&t.byEnd, created)
	return true
}

func (t *table) remove(known *grant) {
	delete(t.grants, known.key)
	heap.Remove(&t.byEnd, known.index)
}

func (t *table) expire(now time.Time) {
	for len(t.byEnd) > 0 && !t.byEnd[0].until.After(now) {
		t.remove(t.byEnd[0])
	}
}

// endHeap implements heap.Interface by the end of the grants.
type endHeap []*grant

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].until.Before(h[j].until) }

func (h endHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *endHeap) Push(item any) {
	added := item.(*grant)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *endHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}
