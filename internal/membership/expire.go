package membership

import "time"

// Times after which a table changes its mind without a message. They count time
// awake, so that a process that was paused gives its neighbours time to speak.
const (
	// UnlistedSuspectedLifetime is how long a node that is suspected and not in the
	// list stays before it is taken for gone.
	UnlistedSuspectedLifetime = 30 * time.Second
	// RefreshInterval is how often a node that the list does not name publishes its
	// record again.
	RefreshInterval = time.Minute
	// UnlistedLifetime is how long a node that the list does not name stays without
	// a new record before it is taken for gone.
	UnlistedLifetime = 3 * RefreshInterval
	// TombstoneLifetime is how long an ended node is remembered, so that an old
	// record of it is recognised. It outlasts an hour's loss between regions.
	TombstoneLifetime = 2 * time.Hour
)

// Expire applies the passing of time and reports whether anything changed. It is
// meant to be called about once a second; after a longer gap it counts only part
// of the gap.
func (t *Table) Expire(now time.Time) (changed bool) {
	t.clock.advance(now)
	changed = t.claimIfDue()
	changed = t.refreshIfUnlisted() || changed
	for node, e := range t.entries {
		if node == t.self.Node {
			changed = t.rejudge(e) || changed
			continue
		}
		switch {
		case t.forgettable(e):
			t.forget(e)
			changed = true
		case t.takenForGone(e):
			t.bury(e)
			changed = true
		default:
			changed = t.rejudge(e) || changed
		}
	}
	return changed
}

// refreshIfUnlisted publishes the own record again while the list does not name
// it, so that others go on taking it for alive.
func (t *Table) refreshIfUnlisted() bool {
	e := t.entries[t.self.Node]
	if e.listed || t.self.State == StateGone || t.clock.awake-e.heardAt < RefreshInterval {
		return false
	}
	record := t.self
	record.Sequence++
	t.publish(record)
	return true
}

// rejudge looks again at an entry of the list that says "leaving", as its meaning
// may depend on the age of the process.
func (t *Table) rejudge(e *entry) bool {
	if !e.listed || e.leaving {
		return false
	}
	t.judgeListing(e)
	return e.leaving
}

func (t *Table) forgettable(e *entry) bool {
	switch {
	case e.buried:
		return t.clock.awake-e.buriedAt >= TombstoneLifetime
	case e.record.State == StateGone:
		return t.clock.awake-e.heardAt >= TombstoneLifetime
	default:
		return false
	}
}

// takenForGone reports whether the table stops believing in a node that is
// missing from the list and has been silent, or suspected, for long enough.
func (t *Table) takenForGone(e *entry) bool {
	if e.ended() || e.listed || !t.haveList {
		return false
	}
	awake := t.clock.awake
	if e.suspected() && awake-max(e.unlistedAt, e.suspectedAt) >= UnlistedSuspectedLifetime {
		return true
	}
	return awake-max(e.unlistedAt, e.heardAt) >= UnlistedLifetime
}

func (t *Table) bury(e *entry) {
	e.buried = true
	e.buriedAt = t.clock.awake
	e.suspectedBy = ""
	t.recount(e)
	t.touch(e.record.Node)
}

func (t *Table) forget(e *entry) {
	delete(t.entries, e.record.Node)
	t.moveAddresses(e.record, Record{})
	t.buckets[e.bucket] -= e.counted
	t.touch(e.record.Node)
}
