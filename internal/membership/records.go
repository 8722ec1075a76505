package membership

import "time"

// MergeRecords merges records published by their owners and returns those that
// were new, to be passed on. A record that gives this node's name or address to a
// later incarnation makes the table raise its own incarnation above it: at once
// while the process is young, later with growing delays, so that two live
// processes of one name cannot outbid each other endlessly.
func (t *Table) MergeRecords(records []Record, now time.Time) (merged []Record) {
	t.clock.advance(now)
	for _, record := range records {
		if !valid(record) {
			continue
		}
		if record.Node == t.self.Node {
			t.checkOwnName(record)
			continue
		}
		if t.merge(record) {
			merged = append(merged, record)
		}
	}
	return merged
}

func valid(record Record) bool {
	for _, text := range [...]string{
		string(record.Node), record.Region, record.Zone,
		record.PeerAddress, record.DataAddress, record.Service,
	} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return record.Node != "" && record.PeerAddress != "" &&
		record.State >= StateStarting && record.State <= StateGone &&
		record.Incarnation > 0 && record.Incarnation < maxIncarnation
}

// merge stores the record if it is newer than the held one, and reports whether it
// should be passed on.
func (t *Table) merge(record Record) bool {
	hash := hashRecord(record)
	e := t.entries[record.Node]
	switch {
	case e == nil && len(t.entries) >= maxMembers:
		return false
	case e == nil:
		e = &entry{bucket: bucketOf(record.Node), unlistedAt: t.clock.elapsed}
		e.neverAlive = record.State == StateGone
		t.entries[record.Node] = e
		t.setStartedAt(e, record)
	case !newer(record, hash, e):
		// The sender may hold an older record of a live node, so that the tombstone
		// must be sent to it.
		e.neverAlive = e.neverAlive && record.State == StateGone
		return false
	case record.Incarnation > e.record.Incarnation:
		e.replaced = true
		t.setStartedAt(e, record)
	}
	e.neverAlive = e.neverAlive && record.State == StateGone
	t.store(e, record, hash)
	t.checkOwnAddress(record)
	return !e.neverAlive
}

// newer reports whether a record replaces the held one of the same node. Two
// different records with one sequence violate the protocol; their hashes decide, so
// that all tables converge on the same one.
func newer(record Record, hash uint64, held *entry) bool {
	if record.Supersedes(held.record) {
		return true
	}
	return !held.record.Supersedes(record) && hash > held.hash
}

// setStartedAt sets the earliest known time of a process. If the table knew its
// predecessor, the process has just started, whatever its own clock says.
func (t *Table) setStartedAt(e *entry, record Record) {
	e.startedAt = t.clock.elapsed
	if !e.replaced {
		e.startedAt = min(t.clock.elapsed, t.clock.startTime(record.Incarnation))
	}
}

// store sets the record of an entry and updates everything derived from it.
func (t *Table) store(e *entry, record Record, hash uint64) {
	before := e.record
	e.record = intern(record)
	e.hash = hash
	e.mergedAt = t.clock.elapsed
	e.suspectedBy = ""
	e.presumedGone = false
	t.moveAddresses(before, e.record)
	t.evaluateListing(e)
	t.updateDigest(e)
	t.markDirty(record.Node)
}

// setSelf stores this node's own record.
func (t *Table) setSelf(record Record) {
	e := t.entries[record.Node]
	if e == nil {
		e = &entry{bucket: bucketOf(record.Node)}
		t.entries[record.Node] = e
	}
	t.store(e, record, hashRecord(record))
	t.self = e.record
}

// checkOwnName handles a record with this node's name.
func (t *Table) checkOwnName(record Record) {
	if record == t.self || t.self.Supersedes(record) {
		return
	}
	t.resolveConflict(record.Incarnation)
}

// checkOwnAddress handles a record of another node that may have this node's
// address.
func (t *Table) checkOwnAddress(record Record) {
	if sharesAddress(record, t.self) && outranks(record, t.self) {
		t.resolveConflict(record.Incarnation)
	}
}

// resolveConflict responds to a claim of another process to this node's name or
// address.
func (t *Table) resolveConflict(remote Incarnation) {
	if !t.Contested() && t.clock.elapsed >= immediateClaimWindow {
		t.nextClaimAt = max(t.nextClaimAt, t.clock.elapsed+t.claimDelay())
	}
	t.conflict = max(t.conflict, remote)
	t.claimIfDue()
}

// claimIfDue raises this node's incarnation above a conflicting one if the claim
// delay is over and the list does not name a replacement.
func (t *Table) claimIfDue() bool {
	if !t.Contested() || t.clock.elapsed < t.nextClaimAt || t.replacedInList() {
		return false
	}
	record := t.self
	record.Incarnation = t.conflict + 1
	record.Sequence = firstSequence
	t.conflict = 0
	t.setSelf(record)
	t.claims++
	if t.claims >= immediateClaims {
		t.nextClaimAt = t.clock.elapsed + t.claimDelay()
	}
	return true
}

func (t *Table) claimDelay() time.Duration {
	return claimDelay << min(t.claims, maxClaimDoubling)
}

// replacedInList reports whether the list names this node at another address only.
func (t *Table) replacedInList() bool {
	e := t.entries[t.self.Node]
	return !e.listed && len(t.list[t.self.Node]) > 0
}
