package load

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Entries are the addresses that callers send requests to. Before a graceful shutdown of
// an entry its address is removed, as a name service or load balancer would do.
type Entries struct {
	addresses atomic.Pointer[[]string]
	// changeLock serializes Add and Remove.
	changeLock sync.Mutex
}

// NewEntries returns entries with the given addresses (IP:port).
func NewEntries(addresses ...string) *Entries {
	entries := &Entries{}
	entries.Set(addresses...)
	return entries
}

// Set replaces the addresses. Calls in progress are not affected.
func (e *Entries) Set(addresses ...string) {
	copied := append([]string(nil), addresses...)
	e.addresses.Store(&copied)
}

// All returns the addresses.
func (e *Entries) All() []string { return append([]string(nil), *e.addresses.Load()...) }

// Remove removes an address; the others keep their order.
func (e *Entries) Remove(address string) {
	e.changeLock.Lock()
	defer e.changeLock.Unlock()
	e.Set(slices.DeleteFunc(e.All(), func(other string) bool { return other == address })...)
}

// Add adds an address unless it is present.
func (e *Entries) Add(address string) {
	e.changeLock.Lock()
	defer e.changeLock.Unlock()
	if addresses := e.All(); !slices.Contains(addresses, address) {
		e.Set(append(addresses, address)...)
	}
}

// Pick returns the address for a call number in round-robin order, or "" if there are
// no addresses.
func (e *Entries) Pick(number uint64) string {
	addresses := *e.addresses.Load()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[number%uint64(len(addresses))]
}
