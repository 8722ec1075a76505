package load

import "sync/atomic"

// Entries are the addresses that callers send to. A planned stop of an entry is
// announced to callers by removing it, as a name service or balancer would do.
type Entries struct {
	addresses atomic.Pointer[[]string]
}

// NewEntries returns entries of these addresses (IP:port).
func NewEntries(addresses ...string) *Entries {
	entries := &Entries{}
	entries.Set(addresses...)
	return entries
}

// Set replaces the addresses. Calls in progress stay where they are.
func (e *Entries) Set(addresses ...string) {
	copied := append([]string(nil), addresses...)
	e.addresses.Store(&copied)
}

// All returns the addresses.
func (e *Entries) All() []string { return append([]string(nil), *e.addresses.Load()...) }

// Remove takes an address out; others keep their order.
func (e *Entries) Remove(address string) {
	var kept []string
	for _, candidate := range *e.addresses.Load() {
		if candidate != address {
			kept = append(kept, candidate)
		}
	}
	e.addresses.Store(&kept)
}

// Add puts an address in, once.
func (e *Entries) Add(address string) {
	e.Remove(address)
	e.Set(append(e.All(), address)...)
}

// Pick returns the address for a call number, or "" when there is none.
func (e *Entries) Pick(number uint64) string {
	addresses := *e.addresses.Load()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[number%uint64(len(addresses))]
}
