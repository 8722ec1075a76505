package load

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Entries are the addresses that callers send to. A planned stop of an entry is
// announced to callers by removing it, as a name service or balancer would do.
type Entries struct {
	addresses atomic.Pointer[[]string]
	// changing serialises Add and Remove.
	changing sync.Mutex
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
	e.changing.Lock()
	defer e.changing.Unlock()
	e.Set(slices.DeleteFunc(e.All(), func(other string) bool { return other == address })...)
}

// Add puts an address in, once.
func (e *Entries) Add(address string) {
	e.changing.Lock()
	defer e.changing.Unlock()
	if addresses := e.All(); !slices.Contains(addresses, address) {
		e.Set(append(addresses, address)...)
	}
}

// Pick returns the address for a call number, or "" when there is none.
func (e *Entries) Pick(number uint64) string {
	addresses := *e.addresses.Load()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[number%uint64(len(addresses))]
}
