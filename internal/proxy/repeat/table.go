package repeat

import "time"

// Limits bounds a Local memory.
type Limits struct {
	// Entries is how many keys are remembered; one more is refused with ErrFull.
	Entries int
	// AnswerBytes bounds one kept answer; a larger one isn't kept.
	AnswerBytes int
	// TotalBytes bounds all kept answers; the oldest are dropped first, their
	// keys stay.
	TotalBytes int
	// Lifetime is how long a key is remembered after its request ended.
	Lifetime time.Duration
}

// The bounds of DefaultLimits: with some hundred bytes a key and the answers, some
// 30 MB at the most.
const (
	defaultEntries    = 1 << 16
	defaultTotalBytes = 16 << 20
	// DefaultAnswerBytes is the size of the largest answer that is kept.
	DefaultAnswerBytes = 64 << 10
)

// DefaultLimits returns the usual bounds with a lifetime.
func DefaultLimits(lifetime time.Duration) Limits {
	return Limits{
		Entries:     defaultEntries,
		AnswerBytes: DefaultAnswerBytes,
		TotalBytes:  defaultTotalBytes,
		Lifetime:    lifetime,
	}
}

// entry is one remembered key.
type entry struct {
	key         Key
	fingerprint Fingerprint
	verdict     Verdict // for a repeat: Running, Answered, Done or Lost
	answer      *Answer
	until       time.Time     // zero while it runs
	ended       chan struct{} // closed at the end of the first
}

// table is the memory without goroutines and clock: now is passed in.
type table struct {
	limits  Limits
	entries map[Key]*entry
	ended   []*entry // in order of until
	kept    int      // index into ended before which no answer is kept
	bytes   int
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
	if len(t.entries) >= t.limits.Entries {
		return nil, false, ErrFull
	}
	created := &entry{key: key, fingerprint: fingerprint, verdict: Running, ended: make(chan struct{})}
	t.entries[key] = created
	return created, true, nil
}

// end records how the first ended.
func (t *table) end(e *entry, ending Ending, answer *Answer, now time.Time) {
	defer close(e.ended)
	switch ending {
	case EndedNotRun:
		delete(t.entries, e.key)
		return
	case EndedUnknown:
		e.verdict = Lost
	case EndedDone:
		e.verdict = Done
		t.keep(e, answer)
	}
	e.until = now.Add(t.limits.Lifetime)
	t.ended = append(t.ended, e)
	t.dropOldest()
}

func (t *table) keep(e *entry, answer *Answer) {
	if answer == nil || answer.size() > min(t.limits.AnswerBytes, t.limits.TotalBytes) {
		return
	}
	e.verdict, e.answer = Answered, answer
	t.bytes += answer.size()
}

// dropOldest drops answers, oldest first, until the rest is within the bound.
func (t *table) dropOldest() {
	for t.bytes > t.limits.TotalBytes {
		t.drop(t.ended[t.kept])
		t.kept++
	}
}

func (t *table) drop(e *entry) {
	if e.answer == nil {
		return
	}
	t.bytes -= e.answer.size()
	e.verdict, e.answer = Done, nil
}

// expire forgets keys whose time is over.
func (t *table) expire(now time.Time) {
	for len(t.ended) > 0 && !t.ended[0].until.After(now) {
		t.drop(t.ended[0])
		delete(t.entries, t.ended[0].key)
		t.ended[0] = nil
		t.ended = t.ended[1:]
		t.kept = max(t.kept-1, 0)
	}
}
