package app

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestStoreEntriesOfOtherWriters: an entry among those of the instances may come from another
// writer. An unreadable one over an instance's key left the instance in use, as the last good
// entry stayed; one without a service, or with a service or state that is not named, took the
// address of a living instance, which then got nothing. Such an entry names no instance: it is
// as if it were not there, and all others hold.
func TestStoreEntriesOfOtherWriters(t *testing.T) {
	c := qt.New(t)
	r := newStoreRig(t, []string{"front", "data", "data"}, nil)
	r.startAll()
	address := fmt.Sprintf("%s:%d", r.machines[1].ip, r.app)
	holds := func() bool {
		current := r.machines[0].node.Current()
		_, listed := current.Instance("i-1")
		return listed && current.HoldsAddress("i-1") && len(current.Instances("data")) == 2
	}
	c.Assert(holds(), qt.IsTrue)
	for name, value := range map[string]string{
		"unreadable bytes":      "\x00\xff{",
		"null":                  `null`,
		"a list":                `[1,2]`,
		"empty":                 `{}`,
		"no service":            fmt.Sprintf(`{"address":%q,"info":{"zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"no address":            `{"info":{"service":"data","zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`,
		"no state":              fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"sequence":1}}`, address),
		"no zone":               fmt.Sprintf(`{"address":%q,"info":{"service":"data","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"a service of a number": fmt.Sprintf(`{"address":%q,"info":{"service":7,"zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"a service not named":   fmt.Sprintf(`{"address":%q,"info":{"service":"other","zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, address),
		"a state not named":     fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"state":"resting","sequence":1}}`, address),
		"a state of a list":     fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"state":["ready"],"sequence":1}}`, address),
		"text for a time":       fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":4},"status":{"state":"ready","sequence":1,"coldRemainingMs":"long"}}`, address),
		"slots below zero":      fmt.Sprintf(`{"address":%q,"info":{"service":"data","zone":"z","slots":-4},"status":{"state":"ready","sequence":1}}`, address),
	} {
		c.Run("over its key: "+name, func(c *qt.C) {
			r.store.Put("servers/i-1", []byte(value))
			r.await(r.put(2, "ready"))
			_, listed := r.machines[0].node.Current().Instance("i-1")
			c.Check(listed && r.machines[0].node.Current().HoldsAddress("i-1"), qt.IsFalse)
			c.Check(r.machines[0].node.Current().Instances("data"), qt.HasLen, 1)
			r.await(r.put(1, "ready"))
			c.Check(holds(), qt.IsTrue)
		})
		c.Run("at its address: "+name, func(c *qt.C) {
			r.store.Put("servers/z-9", []byte(value))
			r.await(r.put(2, "ready"))
			c.Check(holds(), qt.IsTrue)
			r.store.Delete("servers/z-9")
		})
	}
}
