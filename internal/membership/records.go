package membership

import "time"

// MergeRecords merges records published by their owners and returns those that
// were new, for passing on. A record that gives the own name or address to a
// later incarnation raises the own incarnation above it: at once while the
// process is young, later with growing delays, so that two live processes of one
// name cannot outbid each other without end.
func (t *Table) MergeRecords(records []Record, now time.Time) (news []Record) {
	t.clock.advance(now)
	for _, record := range records {
		if !valid(record) {
			continue
		}
		if record.Node == t.self.Node {
			t.meetOwnName(record)
			continue
		}
		if t.merge(record) {
			news = append(news, record)
		}
	}
	return news
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

// merge takes the record if it is newer than the one held, and reports whether
// it is worth passing on.
func (t *Table) merge(record Record) bool {
	hash := hashRecord(record)
	e := t.entries[record.Node]
	switch {
	case e == nil && len(t.entries) >= maxMembers:
		return false
	case e == nil:
		e = &entry{bucket: bucketOf(record.Node), unlistedAt: t.clock.awake}
		e.secondHand = record.State == StateGone
		t.entries[record.Node] = e
		t.start(e, record)
	case !newer(record, hash, e):
		// The sender may believe in the older record: it is told of the tombstone.
		e.secondHand = e.secondHand && record.State == StateGone
		return false
	case record.Incarnation > e.record.Incarnation:
		e.replaced = true
		t.start(e, record)
	}
	e.secondHand = e.secondHand && record.State == StateGone
	t.store(e, record, hash)
	t.meetOwnAddress(record)
	return !e.secondHand
}

// newer orders records of one node. Two different records with one sequence break
// the protocol; their hashes decide, so that all tables settle on the same one.
func newer(record Record, hash uint64, held *entry) bool {
	if record.Supersedes(held.record) {
		return true
	}
	return !held.record.Supersedes(record) && hash > held.hash
}

// start notes the earliest sign of a process. Where the table knew its
// predecessor, the process is new to the fleet whatever its clock says.
func (t *Table) start(e *entry, record Record) {
	e.startedAt = t.clock.awake
	if !e.replaced {
		e.startedAt = min(t.clock.awake, t.clock.startOf(record.Incarnation))
	}
}

// store puts a record into its entry and brings all that depends on it up to
// date.
func (t *Table) store(e *entry, record Record, hash uint64) {
	before := e.record
	e.record = intern(record)
	e.hash = hash
	e.heardAt = t.clock.awake
	e.suspectedBy = ""
	e.buried = false
	t.moveAddresses(before, e.record)
	t.judgeListing(e)
	t.recount(e)
	t.touch(record.Node)
}

// publish stores the own record.
func (t *Table) publish(record Record) {
	e := t.entries[record.Node]
	if e == nil {
		e = &entry{bucket: bucketOf(record.Node)}
		t.entries[record.Node] = e
	}
	t.store(e, record, hashRecord(record))
	t.self = e.record
}

// meetOwnName looks at a record that bears the own name.
func (t *Table) meetOwnName(record Record) {
	if record == t.self || t.self.Supersedes(record) {
		return
	}
	t.contest(record.Incarnation)
}

// meetOwnAddress looks at a record of another node that may hold the own address.
func (t *Table) meetOwnAddress(record Record) {
	if sharesAddress(record, t.self) && outranks(record, t.self) {
		t.contest(record.Incarnation)
	}
}

// contest answers a claim to the own name or address.
func (t *Table) contest(theirs Incarnation) {
	if !t.Contested() && t.clock.awake >= claimWindow {
		t.nextClaimAt = max(t.nextClaimAt, t.clock.awake+t.claimDelay())
	}
	t.contested = max(t.contested, theirs)
	t.claimIfDue()
}

// claimIfDue raises the own incarnation above a contested one once it may.
func (t *Table) claimIfDue() bool {
	if !t.Contested() || t.clock.awake < t.nextClaimAt || t.replacedInList() {
		return false
	}
	record := t.self
	record.Incarnation = t.contested + 1
	record.Sequence = firstSequence
	t.contested = 0
	t.publish(record)
	t.claims++
	if t.claims >= freeClaims {
		t.nextClaimAt = t.clock.awake + t.claimDelay()
	}
	return true
}

func (t *Table) claimDelay() time.Duration {
	return claimDelay << min(t.claims, maxClaimDoubling)
}

// replacedInList reports whether the list gives the own name to another address
// and not to the own.
func (t *Table) replacedInList() bool {
	e := t.entries[t.self.Node]
	return !e.listed && len(t.list[t.self.Node]) > 0
}
