package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/proxy/balance"
)

// The key cache is bounded in size, expires its entries and keeps the newest ones.
func TestKeyCacheIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	cache := newKeyCache()
	process := balance.Key{Node: "a", Incarnation: 1}
	cache.put(0, process, now)
	cache.remove(0)
	cache.put(0, process, now) // uses the second slot now
	for hash := uint64(1); hash < keyCapacity; hash++ {
		cache.put(hash, process, now)
	}
	held, ok := cache.lookup(0, now)
	c.Check(ok, qt.IsTrue)
	c.Check(held, qt.Equals, process)
	cache.put(keyCapacity, process, now)
	_, ok = cache.lookup(0, now)
	c.Check(ok, qt.IsFalse)
	c.Check(cache.entries, qt.HasLen, keyCapacity)

	_, ok = cache.lookup(keyCapacity, now.Add(keyLifetime))
	c.Check(ok, qt.IsFalse)
}
