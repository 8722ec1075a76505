package app

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStoreEntriesOfOtherWriters writes invalid entries among those of the instances, as
// another writer may. Such an entry names no instance: it must count as missing and leave
// all others in force. An unreadable entry at an instance's key must take the instance out of
// use, and one without a service, or with an unknown service or state, must not take over the
// address of a running instance, which would then get no requests.
func TestStoreEntriesOfOtherWriters(t *testing.T) {
	c := qt.New(t)
	r := newStoreHarness(t, []string{"front", "data", "data"}, nil)
	r.startAll()
	address := fmt.Sprintf("%s:%d", r.machines[1].ip, r.backend)
	isInForce := func() bool {
		current := r.machines[0].node.Current()
		_, listed := current.Instance("i-1")
		return listed && current.OwnsAddress("i-1") && len(current.Instances("data")) == 2
	}
	c.Assert(isInForce(), qt.IsTrue)
	for name, value := range map[string]string{
		"unreadable bytes":    "\x00\xff{",
		"null":                `null`,
		"a list":              `[1,2]`,
		"empty":               `{}`,
		"no service":          fmt.Sprintf(`{"address":%q,"info":{"zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"no address":          `{"info":{"service":"data","zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`,
		"no state":            fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"sequence":1}}`, address),
		"no zone":             fmt.Sprintf(`{"address":%q,"info":{"service":"data","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"a number as service": fmt.Sprintf(`{"address":%q,"info":{"service":7,"zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"an unknown service":  fmt.Sprintf(`{"address":%q,"info":{"service":"other","zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"an unknown state":    fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"state":"resting","sequence":1}}`, address),
		"a list as state":     fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"state":["ready"],"sequence":1}}`, address),
		"text as time":        fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"state":"ready","sequence":1,"coldRemainingMs":"long"}}`, address),
		"negative slots":      fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":-4},"status":{"state":"ready","sequence":1}}`, address),
	} {
		c.Run("at the key of an instance: "+name, func(c *qt.C) {
			r.store.Put("servers/i-1", []byte(value))
			r.awaitRevision(r.put(2, "ready"))
			_, listed := r.machines[0].node.Current().Instance("i-1")
			c.Check(listed && r.machines[0].node.Current().OwnsAddress("i-1"), qt.IsFalse)
			c.Check(r.machines[0].node.Current().Instances("data"), qt.HasLen, 1)
			r.awaitRevision(r.put(1, "ready"))
			c.Check(isInForce(), qt.IsTrue)
		})
		c.Run("at the address of an instance: "+name, func(c *qt.C) {
			r.store.Put("servers/z-9", []byte(value))
			r.awaitRevision(r.put(2, "ready"))
			c.Check(isInForce(), qt.IsTrue)
			r.store.Delete("servers/z-9")
		})
	}
}
