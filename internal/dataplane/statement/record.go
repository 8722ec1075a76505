package statement

import "time"

// Record is what the answers of one process of an instance have stated so far. Answers may overtake
// each other: one that was made before the instance stated a limit may arrive after one that states it.
type Record struct {
	limit Limit
	// limitedSince is when the first answer of an uninterrupted series that states a limit arrived.
	limitedSince time.Time
	// confirmedAt is when the last answer arrived that states the current limit, or none.
	confirmedAt time.Time
	// leavingSince is when the first answer arrived that states that the instance leaves; zero: none.
	leavingSince time.Time
	// refused counts the requests that this node refused because of the limit.
	refused int
	// listedAt is when the process was last known to be listed.
	listedAt time.Time
}

// Change is how an answer changed a record.
type Change struct {
	// Limit is set if the limit changed, Leaving if the answer is the first one to state that the instance leaves.
	Limit, Leaving bool
	// Previous is the limit before.
	Previous Limit
}

// Observe adds the statement of an answer that arrived at received, to a request sent at sent. Where the
// order of two answers is not known, because their requests were in progress at the same time, the lower
// limit counts.
func (r *Record) Observe(stated Statement, sent, received time.Time) Change {
	change := Change{Previous: r.limit}
	if stated.Leaving && !r.IsLeaving() {
		r.leavingSince, change.Leaving = received, true
	}
	if stated.MalformedLimit {
		return change
	}
	isLater := !sent.Before(r.confirmedAt)
	if !isLater && stated.Limit != r.limit && !stated.Limit.isBelow(r.limit) {
		return change
	}
	if received.After(r.confirmedAt) {
		r.confirmedAt = received
	}
	change.Limit = r.setLimit(stated.Limit, received)
	return change
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
