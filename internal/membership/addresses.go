package membership

// An address belongs to one process at a time. When two records of different
// nodes give the same one, the process with the higher incarnation, which started
// later, has it, and the other one is gone.

// outranks reports whether a, of another node, took a shared address after b.
func outranks(a, b Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Node > b.Node
}

func usesAddress(record Record, address string) bool {
	return address != "" && (record.PeerAddress == address || record.DataAddress == address)
}

func sharesAddress(a, b Record) bool {
	return usesAddress(a, b.PeerAddress) || usesAddress(a, b.DataAddress)
}

// displaced reports whether another process has an address of the entry's.
func (t *Table) displaced(e *entry) bool {
	record := &e.record
	if t.holders[record.PeerAddress] != record.Node {
		return true
	}
	return record.DataAddress != "" && t.holders[record.DataAddress] != record.Node
}

// moveAddresses follows a node from its addresses in before to those in after;
// either may be zero.
func (t *Table) moveAddresses(before, after Record) {
	for _, address := range [...]string{before.PeerAddress, before.DataAddress} {
		if address != "" && !usesAddress(after, address) {
			t.releaseAddress(address, before.Node)
		}
	}
	for _, address := range [...]string{after.PeerAddress, after.DataAddress} {
		if address != "" {
			t.takeAddress(address, after)
		}
	}
}

func (t *Table) takeAddress(address string, record Record) {
	holder, held := t.holders[address]
	if held && holder == record.Node {
		return
	}
	if held && !outranks(record, t.entries[holder].record) {
		return
	}
	t.holders[address] = record.Node
	if held {
		t.touch(holder)
	}
}

// releaseAddress gives an address that node no longer uses to the next in rank.
func (t *Table) releaseAddress(address string, node NodeID) {
	if t.holders[address] != node {
		return
	}
	delete(t.holders, address)
	var next *entry
	for name, e := range t.entries {
		if name == node || !usesAddress(e.record, address) {
			continue
		}
		if next == nil || outranks(e.record, next.record) {
			next = e
		}
	}
	if next != nil {
		t.holders[address] = next.record.Node
		t.touch(next.record.Node)
	}
}
