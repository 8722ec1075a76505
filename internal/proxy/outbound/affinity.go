package outbound

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/balance"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

const (
	// keyLifetime is how long this node keeps the process that a key was sent to.
	keyLifetime = 10 * time.Minute
	// keyCapacity is the maximum number of keys in the cache; the oldest are
	// evicted first.
	keyCapacity = 32768
)

// pin binds a request that has an Idempotency-Key and may run only once to the
// instance that remembers the key. A node that has no cache entry for the key uses
// rendezvous hashing over the instances that are not suspected, so that all nodes
// choose the same instance.
type pin struct {
	hash uint64
	// recorded is set if this request added the key to the cache.
	recorded bool
}

func newPin(route, key string) *pin {
	return &pin{hash: xxhash.Sum64String(route + "\x00" + key)}
}

// drawPoint returns a number in [0, total): derived from the key for a pinned
// request, random otherwise.
func (e *exchange) drawPoint(total int) int {
	if e.pin != nil {
		return int(e.pin.hash % uint64(total))
	}
	return rand.IntN(total)
}

// pickPinned returns the instance that the key was sent to before, or else the
// owner of the key.
func (e *exchange) pickPinned(view *membership.View) (*balance.Choice, *outcome.Problem) {
	now := time.Now()
	e.forgetUnsentKey()
	remembered, known := e.proxy.keys.lookup(e.pin.hash, now)
	if known {
		endpoint, present := findProcess(view, e.service, remembered)
		if !present {
			problem := outcome.NewProblem(outcome.ReasonRepeatLost, outcome.Unknown, "")
			return nil, &problem
		}
		if e.attempts > 0 {
			// The instance has just refused this request because it is draining. It
			// may have run an earlier request with the key, so no other may run this one.
			return nil, nil
		}
		return e.proxy.balancer.PickExactly(e.service, endpoint), nil
	}
	owner, found := ownerOf(e.pin.hash, view.Endpoints(e.service), e.tried)
	if !found {
		return nil, nil
	}
	e.pin.recorded = true
	e.proxy.keys.put(e.pin.hash, balance.KeyOf(owner), now)
	return e.proxy.balancer.PickExactly(e.service, owner), nil
}

// forgetUnsentKey removes the cache entry that this request added. pickPinned is
// called again only after a refusal that allows another instance to run the
// request.
func (e *exchange) forgetUnsentKey() {
	if e.pin.recorded {
		e.proxy.keys.remove(e.pin.hash)
		e.pin.recorded = false
	}
}

// ownerOf returns the instance with the highest combined hash of key and node.
// Suspected instances are considered only when there are no others.
func ownerOf(hash uint64, endpoints []membership.Endpoint, tried []balance.Key) (membership.Endpoint, bool) {
	var owner membership.Endpoint
	var best uint64
	found := false
	for _, endpoint := range endpoints {
		if wasTried(endpoint, tried) {
			continue
		}
		score := mixBits(hash ^ xxhash.Sum64String(string(endpoint.Node)))
		better := score > best || !found
		if found && owner.Suspected != endpoint.Suspected {
			better = owner.Suspected
		}
		if better {
			owner, best, found = endpoint, score, true
		}
	}
	return owner, found
}

func wasTried(endpoint membership.Endpoint, tried []balance.Key) bool {
	for _, key := range tried {
		if key == balance.KeyOf(endpoint) {
			return true
		}
	}
	return false
}

// mixBits is the finalizer of splitmix64. It makes each bit of the result depend on
// all bits of value.
func mixBits(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// findProcess returns the endpoint of a process unless the process has ended. A
// draining process can still answer requests with keys that it remembers.
func findProcess(view *membership.View, service string, key balance.Key) (membership.Endpoint, bool) {
	for _, endpoint := range view.Endpoints(service) {
		if balance.KeyOf(endpoint) == key {
			return endpoint, true
		}
	}
	member, known := view.Member(key.Node)
	record := member.Record
	if !known || record.Incarnation != key.Incarnation || record.DataAddress == "" {
		return membership.Endpoint{}, false
	}
	return membership.Endpoint{
		Node: record.Node, Incarnation: record.Incarnation, Region: record.Region,
		Zone: record.Zone, DataAddress: record.DataAddress, Slots: record.Slots,
	}, true
}

// keyCache stores which process each key was sent to. Its entries expire, their
// number is bounded, and it is safe for concurrent use.
type keyCache struct {
	mu      sync.Mutex
	entries map[uint64]keyEntry
	order   []uint64 // ring buffer of hashes in the order of insertion
	next    int      // index in order of the next insertion
}

type keyEntry struct {
	process balance.Key
	until   time.Time
	slot    int // index in keyCache.order
}

func newKeyCache() *keyCache {
	return &keyCache{entries: make(map[uint64]keyEntry)}
}

func (m *keyCache) lookup(hash uint64, now time.Time) (balance.Key, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.entries[hash]
	if !ok || !now.Before(entry.until) {
		return balance.Key{}, false
	}
	return entry.process, true
}

func (m *keyCache) put(hash uint64, process balance.Key, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.takeSlot(hash)
	m.entries[hash] = keyEntry{process: process, until: now.Add(keyLifetime), slot: slot}
}

// takeSlot returns the slot for a hash and evicts the key that used it before.
func (m *keyCache) takeSlot(hash uint64) int {
	slot := m.next
	m.next = (m.next + 1) % keyCapacity
	if slot == len(m.order) {
		m.order = append(m.order, hash)
		return slot
	}
	oldest := m.order[slot]
	if m.entries[oldest].slot == slot {
		delete(m.entries, oldest)
	}
	m.order[slot] = hash
	return slot
}

func (m *keyCache) remove(hash uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.entries, hash)
}
