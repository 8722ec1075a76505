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
	// keyLifetime is how long this node remembers where a key was sent.
	keyLifetime = 10 * time.Minute
	// keyCapacity bounds the keys remembered; the oldest are forgotten first.
	keyCapacity = 32768
)

// pin ties a request with an Idempotency-Key, that may run only once, to the
// instance that remembers the key. Without a memory of its own, each node finds
// the same instance by rendezvous hash over the instances not suspected.
type pin struct {
	hash uint64
	// added tells that this request was the first with the key on this node.
	added bool
}

func newPin(route, key string) *pin {
	return &pin{hash: xxhash.Sum64String(route + "\x00" + key)}
}

// drawPoint returns a number below total, the same each time for a pinned
// request.
func (e *exchange) drawPoint(total int) int {
	if e.pin != nil {
		return int(e.pin.hash % uint64(total))
	}
	return rand.IntN(total)
}

// pickPinned takes the instance that the key was sent to before, or its owner.
func (e *exchange) pickPinned(view *membership.View) (*balance.Choice, *outcome.Problem) {
	now := time.Now()
	e.forgetUnlessSent()
	remembered, known := e.proxy.keys.lookup(e.pin.hash, now)
	if known {
		endpoint, present := findProcess(view, e.service, remembered)
		if !present {
			problem := outcome.New(outcome.ReasonRepeatLost, outcome.Unknown, "")
			return nil, &problem
		}
		if e.attempts > 0 {
			return nil, nil // it refused as draining just now, and may remember others
		}
		return e.proxy.balancer.PickExactly(e.service, endpoint), nil
	}
	owner, found := ownerOf(e.pin.hash, view.Endpoints(e.service), e.tried)
	if !found {
		return nil, nil
	}
	e.pin.added = true
	e.proxy.keys.remember(e.pin.hash, balance.KeyOf(owner), now)
	return e.proxy.balancer.PickExactly(e.service, owner), nil
}

// forgetUnlessSent drops the memory that this request made, as pickPinned is
// called again only after a refusal that lets another instance take the request.
func (e *exchange) forgetUnlessSent() {
	if e.pin.added {
		e.proxy.keys.forget(e.pin.hash)
		e.pin.added = false
	}
}

// ownerOf returns the instance with the highest hash together with the key.
// Suspected instances count only when there are no others.
func ownerOf(hash uint64, endpoints []membership.Endpoint, tried []balance.Key) (membership.Endpoint, bool) {
	var owner membership.Endpoint
	var best uint64
	found := false
	for _, endpoint := range endpoints {
		if wasTried(endpoint, tried) {
			continue
		}
		score := mix(hash ^ xxhash.Sum64String(string(endpoint.Node)))
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

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// findProcess returns the endpoint of one process as long as it has not ended.
// A draining one still answers for the keys it remembers.
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

// keyMemory remembers which process each key was sent to. It is bounded in time
// and number and safe for concurrent use.
type keyMemory struct {
	mu      sync.Mutex
	entries map[uint64]keyEntry
	order   []uint64 // ring of the hashes as remembered
	next    int      // slot of order that is used next
}

type keyEntry struct {
	process balance.Key
	until   time.Time
	slot    int // in order
}

func newKeyMemory() *keyMemory {
	return &keyMemory{entries: make(map[uint64]keyEntry)}
}

func (m *keyMemory) lookup(hash uint64, now time.Time) (balance.Key, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.entries[hash]
	if !ok || !now.Before(entry.until) {
		return balance.Key{}, false
	}
	return entry.process, true
}

func (m *keyMemory) remember(hash uint64, process balance.Key, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.takeSlot(hash)
	m.entries[hash] = keyEntry{process: process, until: now.Add(keyLifetime), slot: slot}
}

// takeSlot returns the slot for a hash and forgets the key that held it last.
func (m *keyMemory) takeSlot(hash uint64) int {
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

func (m *keyMemory) forget(hash uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.entries, hash)
}
