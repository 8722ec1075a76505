package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// oddEntry is an entry as other software may leave it among those of the instances.
type oddEntry struct {
	name, value string
	// usable is set if the entry may name an instance; all others must not.
	usable bool
}

// oddEntries returns such entries. Those with an address that could be one have that of a machine with another port.
func oddEntries(machineIP string) (entries []oddEntry) {
	address := fmt.Sprintf(`"%s:1"`, machineIP)
	const info, status = `"service":"data","zone":"z","slots":4`, `"state":"ready","sequence":1`
	entry := func(address, info, status, further string) string {
		return fmt.Sprintf(`{"address":%s,"info":{%s},"status":{%s}%s}`, address, info, status, further)
	}
	add := func(name, value string, usable bool) {
		entries = append(entries, oddEntry{fmt.Sprintf("%.60s", name), value, usable})
	}
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	digits, megabyte := strings.Repeat("9", 400), strings.Repeat("n", 900_000)

	add("nested lists", nested(5_000), false)
	add("more nested lists", nested(100_000), false)
	add("nested lists without an end", strings.Repeat("[", 500_000), false)
	add("nested objects", strings.Repeat(`{"info":`, 9_000)+"1"+strings.Repeat("}", 9_000), false)
	add("more nested objects", strings.Repeat(`{"info":`, 100_000)+"1"+strings.Repeat("}", 100_000), false)
	add("a nested further field", entry(address, info, status, `,"further":`+nested(5_000)), true)
	add("a very nested further field", entry(address, info, status, `,"further":`+nested(20_000)), false)
	add("a nested service", entry(address, `"service":`+nested(5_000)+`,"zone":"z","slots":4`, status, ""), false)
	add("a number as the entry", digits, false)
	add("a text as the entry", `"data"`, false)
	add("data behind the entry", entry(address, info, status, "")+"{}", false)
	add("a byte order mark", "\ufeff"+entry(address, info, status, ""), false)
	add("a state of 900 KB", entry(address, info, `"state":"`+megabyte+`"`, ""), false)
	add("an address of 900 KB", entry(`"`+megabyte+`"`, info, status, ""), false)
	add("an invalid UTF-8 state", entry(address, info, "\"state\":\"re\xffady\"", ""), false)
	add("invalid UTF-8 in names", entry(address, "\"service\":\"da\xffta\",\"zone\":\"\xc3\x28\",\"slots\":4", status, ""), true)
	add("control bytes in names", entry(address, `"service":"data\u0000\r\n","zone":"z\u0007;,=","slots":4`, status, ""), true)
	add("many fields", entry(address, info, status, strings.Repeat(`,"info":{}`, 50_000)), false)
	for i := range 12 { // together more than a document may hold
		add(fmt.Sprintf("a service of 900 KB, %d", i), entry(address, `"service":"`+megabyte+`","zone":"z","slots":4`, status, ""), false)
		add(fmt.Sprintf("a zone of 900 KB, %d", i), entry(address, `"service":"data","zone":"`+megabyte+`","slots":4`, status, ""), false)
	}
	for _, number := range []string{"1e999", "-1e999", "1e-999", digits, "-" + digits, "0." + digits, "1e" + digits, "9223372036854775808", "-0", "1.5"} {
		add("slots of "+number, entry(address, `"service":"data","zone":"z","slots":`+number, status, ""), true)
		add("a start at "+number, entry(address, info, status, `,"born":`+number), true)
		add("cold for "+number, entry(address, info, `"state":"ready","coldRemainingMs":`+number+`,"sequence":`+number, ""), true)
		add("as the service "+number, entry(address, `"service":`+number+`,"zone":`+number+`,"slots":4`, status, ""), false)
		add("a text as the slots "+number, entry(address, `"service":"data","zone":"z","slots":"`+number+`"`, status, ""), false)
	}
	for _, port := range []string{":0", ":-1", ":65536", ":99999999999", ":" + digits, ":", "", ":x", ":0x50", ":+80", ": 80"} {
		add("the port "+port, entry(`"`+machineIP+port+`"`, info, status, ""), false)
	}
	for _, unreachable := range []string{
		"0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80", "224.0.0.1:80", "[ff02::1]:80", "[::1%eth0]:80", "localhost:80", "1.2.3:80", "01.2.3.4:80",
		"http://127.9.9.9:80", "::ffff:127.9.9.9:80", `127.9.9.9:80\r\nX: y`,
	} {
		add("the address "+unreachable, entry(`"`+unreachable+`"`, info, status, ""), false)
	}
	return entries
}

// oddKeys are keys below that of the instances that name none.
var oddKeys = []string{"servers/", "servers/ ", "servers/a/b", "servers/\x00", "servers/\xff", "servers/é\r\n", "servers/" + strings.Repeat("k", 190)}

// TestStoreOddEntries guards against odd entries of another writer that end the nodes which read them, stop them from
// following the store, or take the place of instances that run: such entries come to nodes that run, to ones that
// start and to ones that start again. The changes behind them are followed, and all requests are served.
func TestStoreOddEntries(t *testing.T) {
	c := qt.New(t)
	r := newStoreHarness(t, []string{"front", "data", "data"}, nil)
	r.store.SetPageSize(4) // pages of the store have a few megabytes at most
	r.startAll()
	number := 0
	// checkFollowing changes an entry behind the odd ones, and checks that the instances are in force.
	checkFollowing := func(c *qt.C) {
		number++
		r.awaitRevisionWithin(c, r.putSequence(2, number))
		for _, name := range []string{"i-1", "i-2"} {
			found, listed := r.machines[0].node.Current().Instance(name)
			c.Check(listed && found.State == snapshot.InstanceReady, qt.IsTrue, qt.Commentf(name))
			c.Check(r.machines[0].node.Current().OwnsAddress(name), qt.IsTrue, qt.Commentf(name))
		}
		got, err := r.trySend(0, http.MethodPost, "/write/x", fmt.Sprintf("r-%d", number), nil)
		c.Check(err, qt.IsNil)
		c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	entries := oddEntries(r.machines[1].ip)
	for _, key := range oddKeys {
		entries = append(entries, oddEntry{"the key " + key, `{"address":"127.9.9.9:1","info":{"service":"data","zone":"z","slots":4},"status":{"state":"ready"}}`, true})
	}
	keyOf := func(index int) string {
		if keys := len(entries) - len(oddKeys); index >= keys {
			return oddKeys[index-keys]
		}
		return fmt.Sprintf("servers/odd-%d", index)
	}
	checkUnusable := func(c *qt.C) {
		current := r.machines[0].node.Current()
		for index, entry := range entries {
			_, listed := current.Instance(strings.TrimPrefix(keyOf(index), "servers/"))
			c.Check(listed && !entry.usable, qt.IsFalse, qt.Commentf("%s", entry.name))
		}
	}
	const together = 10
	for first := 0; first < len(entries); first += together {
		last := min(first+together, len(entries))
		c.Run("while the nodes run, from "+entries[first].name, func(c *qt.C) {
			for index := first; index < last; index++ {
				r.store.Put(keyOf(index), []byte(entries[index].value))
			}
			checkFollowing(c)
			checkUnusable(c)
			for index := first; index < last; index++ {
				r.store.Delete(keyOf(index))
			}
		})
	}
	c.Run("at a start", func(c *qt.C) {
		for index, entry := range entries {
			r.store.Put(keyOf(index), []byte(entry.value))
		}
		checkFollowing(c)
		checkUnusable(c)
		for index := range r.machines { // one after the other, then all at once
			c.Check(r.machines[index].stop(), qt.IsNil)
			r.startAgain(c, index)
			checkFollowing(c)
		}
		for index := range r.machines {
			c.Check(r.machines[index].stop(), qt.IsNil)
		}
		r.startAgain(c, 0, 1, 2)
		checkFollowing(c)
		checkUnusable(c)
	})
}

// startAgain starts nodes and waits until they are ready.
func (r *storeHarness) startAgain(c *qt.C, indexes ...int) {
	c.Helper()
	for _, index := range indexes {
		r.start(index, r.url)
	}
	for _, index := range indexes {
		select {
		case <-r.machines[index].node.Ready():
		case <-time.After(time.Minute):
			c.Fatalf("the node of machine %d does not get ready", index)
		}
	}
}

// putSequence renews the entry of an instance and returns the revision of the write.
func (r *storeHarness) putSequence(index, sequence int) snapshot.Revision {
	m := r.machines[index]
	return snapshot.Revision(r.store.Put("servers/"+m.instance.Name, fmt.Appendf(nil,
		`{"address":"%s:%d","info":{"service":%q,"zone":"z","slots":%d},"status":{"state":"ready","sequence":%d}}`, m.ip, r.backend, m.service, 4+sequence%2, sequence)))
}

// awaitRevisionWithin waits until every running node has the revision in force.
func (r *storeHarness) awaitRevisionWithin(c *qt.C, revision snapshot.Revision) {
	c.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.awaitRevision(revision)
	}()
	select {
	case <-ended:
	case <-time.After(time.Minute):
		c.Fatalf("revision %d is not in force", revision.Number())
	}
}
