package transfer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// chunkBytes are written at once, so that a small message waits behind at most one chunk.
	chunkBytes = 8 << 10
	// remainingWeight is how many times its remaining transmission time is added to the due time of
	// a body, so that a long body lets short ones pass that are due a little later.
	remainingWeight = 2
	// fairInterval is the number of chunks of which one goes to the body that has waited longest for
	// its next chunk, whatever its order: a body of low priority still makes progress.
	fairInterval = 8
	// maxLateness is for how much link time a schedule that is run late catches up: late wake-ups of
	// a busy machine must not reduce the rate.
	maxLateness = 20 * time.Millisecond
	// maxSmallDebt limits how long small messages that exceed the rate hold back large bodies.
	maxSmallDebt = 50 * time.Millisecond
	// stallTime is how long the write of one chunk may take before its reader counts as stalled.
	stallTime = 250 * time.Millisecond
)

// Order says which body is sent first.
type Order struct {
	// Priority is the priority of the body; 0 is the highest.
	Priority int
	// Due is when the body should be sent completely; zero: at once.
	Due time.Time
	// Pace limits the rate of this body, in bytes per second; zero: no limit of its own.
	Pace int64
}

// body is one body in a schedule.
type body struct {
	order Order
	// remaining are the bytes for which no link time has been granted, written those that were
	// written, of the total.
	remaining, written, total int
	// ready is set while the body waits for its next chunk, and lastTurn is when it got the last
	// one, or was added.
	ready    bool
	lastTurn time.Time
	// notBefore is when the body's own pace allows the next chunk.
	notBefore time.Time
	// writingSince is when the write of the current chunk began; zero: none is being written.
	writingSince time.Time
	turn         chan struct{}
}

// isStalled reports whether the reader of the body accepts no data.
func (b *body) isStalled(now time.Time) bool {
	return !b.writingSince.IsZero() && now.Sub(b.writingSince) > stallTime
}

// picker chooses the body that gets the next chunk. There is at least one candidate.
type picker func(candidates []*body, rate float64, now time.Time) *body

// schedule decides which body may write its next chunk, and when. It performs no I/O.
type schedule struct {
	rate float64 // bytes per second
	pick picker
	// free is when the link has transmitted all that was granted and charged.
	free time.Time
	// idleSince is since when no body has waited for a chunk, if none does.
	idleSince time.Time
	bodies    []*body // in order of arrival
	grants    int
	// candidates is reused by next.
	candidates []*body
}

func newSchedule(rate float64) *schedule { return &schedule{rate: rate, pick: pickDue} }

// add adds a body that is ready for its first chunk.
func (s *schedule) add(bytes int, order Order, now time.Time) *body {
	if order.Due.IsZero() {
		order.Due = now
	}
	added := &body{order: order, remaining: bytes, total: bytes, lastTurn: now, turn: make(chan struct{}, 1)}
	s.bodies = append(s.bodies, added)
	s.request(added, now)
	return added
}

// remove removes a body that was written completely, or whose connection failed.
func (s *schedule) remove(removed *body, now time.Time) {
	if index := slices.Index(s.bodies, removed); index >= 0 {
		s.bodies = slices.Delete(s.bodies, index, index+1)
	}
	if removed.ready && !s.isWaiting() {
		s.idleSince = now
	}
}

// request makes a body wait for its next chunk, after it has written the last one.
func (s *schedule) request(waiting *body, now time.Time) {
	if !s.isWaiting() {
		s.skipIdleTime(now)
	}
	waiting.ready, waiting.writingSince = true, time.Time{}
}

// skipIdleTime moves free by the time without demand, which is not made up for.
func (s *schedule) skipIdleTime(now time.Time) {
	switch {
	case s.idleSince.IsZero():
		s.free = later(s.free, now)
	case s.free.Before(now):
		s.free = earlier(s.free.Add(now.Sub(s.idleSince)), now)
	}
}

func (s *schedule) isWaiting() bool {
	return slices.ContainsFunc(s.bodies, func(each *body) bool { return each.ready })
}

// charge accounts for a message that is written immediately.
func (s *schedule) charge(bytes int, now time.Time) {
	s.free = later(s.free, now.Add(-maxLateness))
	if limit := now.Add(maxSmallDebt); s.free.Before(limit) {
		s.free = earlier(s.free.Add(transmissionTime(bytes, s.rate)), limit)
	}
}

// next grants a chunk if the link is free. Otherwise it returns no body, and the time at which to
// ask again, zero if no body waits.
func (s *schedule) next(now time.Time) (granted *body, bytes int, again time.Time) {
	s.candidates = s.candidates[:0]
	for _, each := range s.bodies {
		switch {
		case !each.ready:
		case each.notBefore.After(now):
			if again.IsZero() || each.notBefore.Before(again) {
				again = each.notBefore
			}
		default:
			s.candidates = append(s.candidates, each)
		}
	}
	if len(s.candidates) == 0 {
		return nil, 0, again
	}
	if s.free.After(now) {
		return nil, 0, s.free
	}
	granted = s.choose(now)
	bytes = min(chunkBytes, granted.remaining)
	s.free = later(s.free, now.Add(-maxLateness)).Add(transmissionTime(bytes, s.rate))
	granted.take(bytes, now)
	if !s.isWaiting() {
		s.idleSince = now
	}
	return granted, bytes, time.Time{}
}

// choose returns the candidate that gets the next chunk.
func (s *schedule) choose(now time.Time) *body {
	s.grants++
	if s.grants%fairInterval != 0 {
		return s.pick(s.candidates, s.rate, now)
	}
	return pickLongestWaiting(s.candidates, s.rate, now)
}

// take grants link time for the next bytes of a body.
func (b *body) take(bytes int, now time.Time) {
	b.ready, b.lastTurn, b.writingSince = false, now, now
	b.remaining -= bytes
	if b.order.Pace > 0 {
		b.notBefore = now.Add(min(transmissionTime(bytes, float64(b.order.Pace)), maxChunkInterval))
	}
}

// owed returns the bytes for which no link time has been granted, without those of stalled readers.
func (s *schedule) owed(now time.Time) int64 {
	var bytes int64
	for _, each := range s.bodies {
		if !each.isStalled(now) {
			bytes += int64(each.remaining)
		}
	}
	return bytes
}

// pickDue chooses by priority, then the bodies that can still be in time, then by due time plus a
// multiple of the remaining transmission time. If late bodies went first, a backlog would make all
// bodies late.
func pickDue(candidates []*body, rate float64, now time.Time) *body {
	return slices.MinFunc(candidates, func(a, b *body) int {
		if byPriority := cmp.Compare(a.order.Priority, b.order.Priority); byPriority != 0 {
			return byPriority
		}
		if late := a.isLate(rate, now); late != b.isLate(rate, now) {
			if late {
				return 1
			}
			return -1
		}
		return a.rank(rate).Compare(b.rank(rate))
	})
}

// isLate reports whether the body cannot be sent by its due time, even without others.
func (b *body) isLate(rate float64, now time.Time) bool {
	return now.Add(transmissionTime(b.remaining, rate)).After(b.order.Due)
}

func (b *body) rank(rate float64) time.Time {
	return b.order.Due.Add(remainingWeight * transmissionTime(b.remaining, rate))
}

// pickLongestWaiting chooses the body whose last chunk is the longest ago.
func pickLongestWaiting(candidates []*body, _ float64, _ time.Time) *body {
	return slices.MinFunc(candidates, func(a, b *body) int { return a.lastTurn.Compare(b.lastTurn) })
}

func transmissionTime(bytes int, rate float64) time.Duration {
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
