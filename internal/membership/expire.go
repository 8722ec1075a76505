package membership

import "time"

// Times after which a table changes its state without a message. They are elapsed
// times (see clock), so that a process that was paused first gives its neighbours
// time to send something.
const (
	// UnlistedSuspectedLifetime is how long a node that is suspected and not in the
	// list is kept before it is presumed gone.
	UnlistedSuspectedLifetime = 30 * time.Second
	// RefreshInterval is how often a node that is not in the list publishes its
	// record again.
	RefreshInterval = time.Minute
	// UnlistedLifetime is how long a node that is not in the list is kept without a
	// new record before it is presumed gone.
	UnlistedLifetime = 3 * RefreshInterval
	// TombstoneLifetime is how long an ended node is remembered, so that an old
	// record of it is rejected. It outlasts an hour without connection between
	// regions.
	TombstoneLifetime = 2 * time.Hour
)

// Expire applies time-outs and reports whether anything changed. It should be
// called about once a second; of a longer gap only maxClockStep counts.
func (t *Table) Expire(now time.Time) (changed bool) {
	t.clock.advance(now)
	changed = t.claimIfDue()
	changed = t.refreshIfUnlisted() || changed
	for node, e := range t.entries {
		if node == t.self.Node {
			changed = t.reevaluateListing(e) || changed
			continue
		}
		switch {
		case t.forgettable(e):
			t.forget(e)
			changed = true
		case t.shouldPresumeGone(e):
			t.presumeGone(e)
			changed = true
		default:
			changed = t.reevaluateListing(e) || changed
		}
	}
	return changed
}

// refreshIfUnlisted publishes this node's record again while the list does not
// name it, so that other nodes keep considering it alive.
func (t *Table) refreshIfUnlisted() bool {
	e := t.entries[t.self.Node]
	if e.listed || t.self.State == StateGone || t.clock.elapsed-e.mergedAt < RefreshInterval {
		return false
	}
	record := t.self
	record.Sequence++
	t.setSelf(record)
	return true
}

// reevaluateListing checks again whether an entry of the list that says "leaving"
// applies to the process, which may depend on the age of the process.
func (t *Table) reevaluateListing(e *entry) bool {
	if !e.listed || e.leaving {
		return false
	}
	t.evaluateListing(e)
	return e.leaving
}

func (t *Table) forgettable(e *entry) bool {
	switch {
	case e.presumedGone:
		return t.clock.elapsed-e.presumedGoneAt >= TombstoneLifetime
	case e.record.State == StateGone:
		return t.clock.elapsed-e.mergedAt >= TombstoneLifetime
	default:
		return false
	}
}

// shouldPresumeGone reports whether a node is missing from the list and has been
// silent, or suspected, for long enough to be presumed gone.
func (t *Table) shouldPresumeGone(e *entry) bool {
	if e.ended() || e.listed || !t.haveList {
		return false
	}
	elapsed := t.clock.elapsed
	if e.suspected() && elapsed-max(e.unlistedAt, e.suspectedAt) >= UnlistedSuspectedLifetime {
		return true
	}
	return elapsed-max(e.unlistedAt, e.mergedAt) >= UnlistedLifetime
}

func (t *Table) presumeGone(e *entry) {
	e.presumedGone = true
	e.presumedGoneAt = t.clock.elapsed
	e.suspectedBy = ""
	t.updateDigest(e)
	t.markDirty(e.record.Node)
}

func (t *Table) forget(e *entry) {
	delete(t.entries, e.record.Node)
	t.moveAddresses(e.record, Record{})
	t.buckets[e.bucket] -= e.digested
	t.markDirty(e.record.Node)
}
