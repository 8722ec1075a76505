package idempotency

import "time"

// Limits bounds a Local.
type Limits struct {
	// MaxKeys is how many keys are remembered; further keys are refused with ErrFull.
	MaxKeys int
	// MaxResponseBytes bounds one remembered response; a larger one is not kept.
	MaxResponseBytes int
	// MaxTotalBytes bounds all remembered responses. The oldest responses are dropped
	// first; their keys are kept.
	MaxTotalBytes int
	// Lifetime is how long a key is remembered after its request ended.
	Lifetime time.Duration
}

// The limits of DefaultLimits. With a few hundred bytes per key and the responses,
// they amount to at most about 30 MB.
const (
	defaultMaxKeys       = 1 << 16
	defaultMaxTotalBytes = 16 << 20
	// DefaultMaxResponseBytes is the size of the largest response that is kept.
	DefaultMaxResponseBytes = 64 << 10
)

// DefaultLimits returns the default limits with a lifetime.
func DefaultLimits(lifetime time.Duration) Limits {
	return Limits{
		MaxKeys:          defaultMaxKeys,
		MaxResponseBytes: DefaultMaxResponseBytes,
		MaxTotalBytes:    defaultMaxTotalBytes,
		Lifetime:         lifetime,
	}
}

// entry is one remembered key.
type entry struct {
	key         Key
	fingerprint Fingerprint
	verdict     Verdict // of a repeat: Running, Answered, Done or Lost
	response    *Response
	expiresAt   time.Time     // zero while the first request runs
	ended       chan struct{} // closed when the first request ends
}

// table is the state of a Local, without goroutines or a clock: now is passed in.
type table struct {
	limits    Limits
	entries   map[Key]*entry
	ended     []*entry // in order of expiresAt
	firstKept int      // index into ended; no entry before it has a response
	bytes     int
}

func newTable(limits Limits) *table {
	return &table{limits: limits, entries: map[Key]*entry{}}
}

// begin returns the entry of the key and whether it is new.
func (t *table) begin(key Key, fingerprint Fingerprint, now time.Time) (found *entry, isNew bool, err error) {
	t.expire(now)
	if known, ok := t.entries[key]; ok {
		return known, false, nil
	}
	if len(t.entries) >= t.limits.MaxKeys {
		return nil, false, ErrFull
	}
	created := &entry{key: key, fingerprint: fingerprint, verdict: Running, ended: make(chan struct{})}
	t.entries[key] = created
	return created, true, nil
}

// end records how the first request ended.
func (t *table) end(e *entry, ending Ending, response *Response, now time.Time) {
	defer close(e.ended)
	switch ending {
	case EndedNotRun:
		delete(t.entries, e.key)
		return
	case EndedUnknown:
		e.verdict = Lost
	case EndedDone:
		e.verdict = Done
		t.keepResponse(e, response)
	}
	e.expiresAt = now.Add(t.limits.Lifetime)
	t.ended = append(t.ended, e)
	t.dropOldestResponses()
}

func (t *table) keepResponse(e *entry, response *Response) {
	if response == nil || response.size() > min(t.limits.MaxResponseBytes, t.limits.MaxTotalBytes) {
		return
	}
	e.verdict, e.response = Answered, response
	t.bytes += response.size()
}

// dropOldestResponses drops responses, oldest first, until the rest is within
// MaxTotalBytes.
func (t *table) dropOldestResponses() {
	for t.bytes > t.limits.MaxTotalBytes {
		t.dropResponse(t.ended[t.firstKept])
		t.firstKept++
	}
}

func (t *table) dropResponse(e *entry) {
	if e.response == nil {
		return
	}
	t.bytes -= e.response.size()
	e.verdict, e.response = Done, nil
}

// expire removes keys whose lifetime is over.
func (t *table) expire(now time.Time) {
	for len(t.ended) > 0 && !t.ended[0].expiresAt.After(now) {
		t.dropResponse(t.ended[0])
		delete(t.entries, t.ended[0].key)
		t.ended[0] = nil
		t.ended = t.ended[1:]
		t.firstKept = max(t.firstKept-1, 0)
	}
}
