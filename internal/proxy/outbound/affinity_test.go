package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/proxy/balance"
)

// The memory of keys is bounded in number and time, and keeps the newest.
func TestKeyMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	memory := newKeyMemory()
	process := balance.Key{Node: "a", Incarnation: 1}
	memory.remember(0, process, now)
	memory.forget(0)
	memory.remember(0, process, now) // holds the second slot now
	for hash := uint64(1); hash < keyCapacity; hash++ {
		memory.remember(hash, process, now)
	}
	held, ok := memory.lookup(0, now)
	c.Check(ok, qt.IsTrue)
	c.Check(held, qt.Equals, process)
	memory.remember(keyCapacity, process, now)
	_, ok = memory.lookup(0, now)
	c.Check(ok, qt.IsFalse)
	c.Check(memory.entries, qt.HasLen, keyCapacity)

	_, ok = memory.lookup(keyCapacity, now.Add(keyLifetime))
	c.Check(ok, qt.IsFalse)
}
