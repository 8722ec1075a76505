package statement

import (
	"slices"
	"time"
)

// maxHeard bounds the answers that a record keeps.
const maxHeard = 16

// Record is what the answers of one process of an instance have stated so far. Answers may overtake
// each other: one that was made before the instance stated a limit may arrive after one that states it.
type Record struct {
	limit Limit
	// heard are the answers with a limit of which none is known to be outdated, by the time of their arrival
	// and by their limits, both ascending. The slice is replaced, never changed, so that records can be copied.
	heard []heardLimit
	// lastSent is when the last of the requests was sent whose answers have arrived.
	lastSent time.Time
	// limitedSince is when the first answer of an uninterrupted series that states a limit arrived.
	limitedSince time.Time
	// leavingSince is when the first answer arrived that states that the instance leaves; zero: none.
	leavingSince time.Time
	// refused counts the requests that this node refused because of the limit.
	refused int
	// listedAt is when the process was last known to be listed.
	listedAt time.Time
}

// heardLimit is an answer that states a limit.
type heardLimit struct {
	limit    Limit
	received time.Time
}

// Change is how an answer changed a record.
type Change struct {
	// Limit is set if the limit changed, Leaving if the answer is the first one to state that the instance leaves.
	Limit, Leaving bool
	// Previous is the limit before.
	Previous Limit
}

// Observe adds the statement of an answer that arrived at received, to a request sent at sent. An answer is
// outdated once another one has arrived whose request was sent after it. Of the answers that are not, any
// may be the newest, because their requests were in progress at the same time: the lowest limit counts.
func (r *Record) Observe(stated Statement, sent, received time.Time) Change {
	change := Change{Previous: r.limit}
	if stated.Leaving && !r.IsLeaving() {
		r.leavingSince, change.Leaving = received, true
	}
	if stated.MalformedLimit || received.Before(r.lastSent) {
		return change
	}
	r.lastSent = later(r.lastSent, sent)
	r.heard = currentLimits(r.heard, sent)
	if stated.Limit.Stated {
		r.heard = withLimit(r.heard, heardLimit{limit: stated.Limit, received: received})
	}
	lowest := Limit{}
	if len(r.heard) > 0 {
		lowest = r.heard[0].limit
	}
	change.Limit = r.setLimit(lowest, received)
	return change
}

// currentLimits returns the answers that arrived after a request was sent: its answer shows that the others are outdated.
func currentLimits(heard []heardLimit, sent time.Time) []heardLimit {
	first := 0
	for first < len(heard) && !heard[first].received.After(sent) {
		first++
	}
	return heard[first:]
}

// withLimit returns the answers with a further one. An answer is left out if another one states no higher limit and
// becomes outdated no sooner. Beyond maxHeard, an answer is left out with the next later one taking its limit.
func withLimit(heard []heardLimit, added heardLimit) []heardLimit {
	kept := make([]heardLimit, 0, len(heard)+1)
	for _, each := range heard {
		if each.limit.isBelow(added.limit) || each.received.After(added.received) {
			kept = append(kept, each)
		}
	}
	position := len(kept)
	for position > 0 && kept[position-1].received.After(added.received) {
		position--
	}
	if position == len(kept) || added.limit.isBelow(kept[position].limit) {
		kept = slices.Insert(kept, position, added)
	}
	if len(kept) > maxHeard {
		kept[1].limit = kept[0].limit
		kept = kept[1:]
	}
	return kept
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setLimit sets the limit and reports whether it changed.
func (r *Record) setLimit(limit Limit, now time.Time) bool {
	if limit == r.limit {
		return false
	}
	if !r.limit.Stated {
		r.limitedSince = now
	}
	r.limit = limit
	return true
}

// Limit returns the limit that the instance states.
func (r Record) Limit() Limit { return r.limit }

// LimitedSince returns since when the instance has stated a limit.
func (r Record) LimitedSince() time.Time { return r.limitedSince }

// Refused returns how many requests this node has refused because of the limit.
func (r Record) Refused() int { return r.refused }

// IsLeaving reports whether the instance has stated that it leaves. No later answer takes that back.
func (r Record) IsLeaving() bool { return !r.leavingSince.IsZero() }

// LeavingSince returns since when the instance is known to leave; zero: it is not.
func (r Record) LeavingSince() time.Time { return r.leavingSince }

// isEmpty reports whether nothing that the instance has stated holds any more.
func (r Record) isEmpty() bool { return !r.limit.Stated && !r.IsLeaving() }
