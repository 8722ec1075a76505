package claim

import (
	"container/heap"
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxKeys bounds the keys that a replica remembers, at about 200 bytes each.
	maxKeys = 1 << 17
	// releaseRetention is how long a release is remembered, to reject a claim of the
	// same holder that arrives after it.
	releaseRetention = 30 * time.Second
	// maxHold bounds the hold time that a claimer may ask for.
	maxHold = 48 * time.Hour
)

// grant is the state of one key.
type grant struct {
	key         wire.ClaimKey
	fingerprint wire.ClaimFingerprint
	holder      wire.ClaimHolder
	runsUntil   time.Time
	expiresAt   time.Time
	released    bool // free, but not granted to holder again
	index       int  // position in byExpiry
}

// table is the state of a replica, without goroutines or a clock. It never removes a
// key before it expires: when it is full, it refuses new keys.
type table struct {
	limit    int
	grants   map[wire.ClaimKey]*grant
	byExpiry expiryHeap
}

func newTable(limit int) *table {
	return &table{limit: limit, grants: map[wire.ClaimKey]*grant{}}
}

// handle returns the reply to a request; it has the request's number.
func (t *table) handle(request *wire.ClaimRequest, now time.Time) wire.ClaimReply {
	t.expire(now)
	reply := wire.ClaimReply{Number: request.Number, Verdict: wire.ClaimFree}
	existing := t.grants[request.Key]
	switch request.Action {
	case wire.ClaimActionClaim:
		reply.Verdict = t.claim(existing, request, now)
	case wire.ClaimActionRelease:
		t.release(existing, request, now)
	default:
		if existing != nil && !existing.released {
			reply.Verdict = wire.ClaimTaken
		}
	}
	if reply.Verdict == wire.ClaimTaken || reply.Verdict == wire.ClaimConflict {
		reply.Holder = existing.holder
		reply.Running = now.Before(existing.runsUntil)
	}
	return reply
}

func (t *table) claim(existing *grant, request *wire.ClaimRequest, now time.Time) wire.ClaimVerdict {
	switch {
	case existing == nil:
		return t.grantNew(request, now)
	case existing.holder == request.Holder && existing.released:
		return wire.ClaimReleased
	case existing.released:
		t.remove(existing)
		return t.grantNew(request, now)
	case existing.holder == request.Holder:
		return wire.ClaimGranted
	case existing.fingerprint != request.Fingerprint:
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
		runsUntil:   now.Add(clampDuration(request.RemainingMillis)),
		expiresAt:   now.Add(clampDuration(request.GrantMillis)),
	}
	if !t.add(created) {
		return wire.ClaimFull
	}
	return wire.ClaimGranted
}

func clampDuration(milliseconds int64) time.Duration {
	milliseconds = min(max(milliseconds, 0), maxHold.Milliseconds())
	return time.Duration(milliseconds) * time.Millisecond
}

// release frees the key, unless another holder has it, and remembers the release.
func (t *table) release(existing *grant, request *wire.ClaimRequest, now time.Time) {
	if existing != nil && existing.holder != request.Holder && !existing.released {
		return
	}
	if existing != nil {
		t.remove(existing)
	}
	t.add(&grant{key: request.Key, holder: request.Holder, expiresAt: now.Add(releaseRetention), released: true})
}

func (t *table) add(created *grant) bool {
	if len(t.grants) >= t.limit {
		return false
	}
	t.grants[created.key] = created
	heap.Push(&t.byExpiry, created)
	return true
}

func (t *table) remove(existing *grant) {
	delete(t.grants, existing.key)
	heap.Remove(&t.byExpiry, existing.index)
}

func (t *table) expire(now time.Time) {
	for len(t.byExpiry) > 0 && !t.byExpiry[0].expiresAt.After(now) {
		t.remove(t.byExpiry[0])
	}
}

// expiryHeap implements heap.Interface, ordered by expiry.
type expiryHeap []*grant

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(item any) {
	added := item.(*grant)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}
