package membership

// An address belongs to one process at a time. If records of two nodes name the
// same address, it belongs to the process with the higher incarnation, which
// started later; the other process is gone.

// outranks reports whether a took a shared address after b, a record of another
// node.
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

// lostAddress reports whether another process owns an address of the entry.
func (t *Table) lostAddress(e *entry) bool {
	record := &e.record
	if t.addressOwners[record.PeerAddress] != record.Node {
		return true
	}
	return record.DataAddress != "" && t.addressOwners[record.DataAddress] != record.Node
}

// moveAddresses releases the addresses that a node has only in before and claims
// those in after. Either record may be zero.
func (t *Table) moveAddresses(before, after Record) {
	for _, address := range [...]string{before.PeerAddress, before.DataAddress} {
		if address != "" && !usesAddress(after, address) {
			t.releaseAddress(address, before.Node)
		}
	}
	for _, address := range [...]string{after.PeerAddress, after.DataAddress} {
		if address != "" {
			t.claimAddress(address, after)
		}
	}
}

func (t *Table) claimAddress(address string, record Record) {
	owner, owned := t.addressOwners[address]
	if owned && owner == record.Node {
		return
	}
	if owned && !outranks(record, t.entries[owner].record) {
		return
	}
	t.addressOwners[address] = record.Node
	if owned {
		t.markDirty(owner)
	}
}

// releaseAddress passes an address that node no longer uses to the highest-ranking
// other node that names it.
func (t *Table) releaseAddress(address string, node NodeID) {
	if t.addressOwners[address] != node {
		return
	}
	delete(t.addressOwners, address)
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
		t.addressOwners[address] = next.record.Node
		t.markDirty(next.record.Node)
	}
}
