package app

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// noneSendTo reports whether no running node sends requests to the instance of a machine.
func (r *storeHarness) noneSendTo(index int) bool {
	name := r.machines[index].instance.Name
	for _, m := range r.machines {
		if m.node == nil {
			continue
		}
		instance, listed := m.node.Current().Instance(name)
		if listed && instance.State == snapshot.InstanceReady {
			return false
		}
	}
	return true
}

// anyHasRevision reports whether any running node has the revision in force.
func (r *storeHarness) anyHasRevision(revision snapshot.Revision) bool {
	for _, m := range r.machines {
		if m.node != nil && m.node.Current().Version().Revision >= revision {
			return true
		}
	}
	return false
}

// TestStoreLeavingWhileAConfigurationIsRead checks that the nodes learn that an instance
// leaves, or that its zone is evacuated, before a large configuration has been read,
// whichever was written first. If readers read nothing else during a large configuration
// (640 KB take over a second), requests still reach an instance seconds after the store
// acknowledged its leaving.
func TestStoreLeavingWhileAConfigurationIsRead(t *testing.T) {
	const (
		routes = 1000
		// bytesPerSecond makes the read of the configuration take about four seconds.
		bytesPerSecond = 100_000
		leaver         = 3
	)
	for name, write := range map[string]func(r *storeHarness){
		"instance draining": func(r *storeHarness) { r.put(leaver, "draining") },
		"entry deleted":     func(r *storeHarness) { r.store.Delete("servers/" + r.machines[leaver].instance.Name) },
		"zone evacuated":    func(r *storeHarness) { r.evacuate("y") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newStoreHarness(t, []string{"front", "front", "data", "data"}, nil)
			r.putInZone(1, "y")
			r.putInZone(leaver, "y")
			r.startAll()
			r.awaitRevision(snapshot.Revision(r.store.Put("op/config", fmt.Appendf(nil, configurationOf, 2, ""))))
			r.store.SetRate(bytesPerSecond)
			large := snapshot.Revision(r.store.Put("op/config", fmt.Appendf(nil, configurationOf, 3, manyRoutes(routes))))
			write(r)
			until(func() bool { return r.noneSendTo(leaver) })
			r.c.Check(r.anyHasRevision(large), qt.IsFalse, qt.Commentf("the nodes learned of the leaving only after the large configuration"))
			r.c.Check(r.send(0, http.MethodGet, "/read/x", "after").status, qt.Equals, http.StatusOK)
			r.c.Check(r.runsAt(r.machines[leaver], "after"), qt.HasLen, 0)
		})
	}
}

// TestStoreLeavingAfterAnOutage checks that only the entries that expired during an
// outage of the store are awaited when it returns. If other changes waited with them, for two
// seconds, an instance that has just announced its leaving would get requests until the
// expired entries count as gone.
func TestStoreLeavingAfterAnOutage(t *testing.T) {
	const (
		expired, leaver = 1, 3
		// outage is longer than the 1.2 s for which a reader collects changes and the 1 s after
		// which entries may have expired, so that each reader notices it.
		outage = 3 * time.Second
	)
	r := newStoreHarness(t, []string{"front", "data", "data", "data", "data"}, nil)
	r.startAll()
	r.awaitRevision(snapshot.Revision(r.store.Put("op/config", fmt.Appendf(nil, configurationOf, 2, ""))))
	r.store.SetFault(func(*http.Request) store.Fault { return store.Reset })
	for _, m := range r.machines {
		until(func() bool { return time.Duration(m.node.parts.Node.Status().SourceAge)*time.Millisecond >= outage })
	}
	for _, index := range []int{expired, expired + 1} {
		r.store.Delete("servers/" + r.machines[index].instance.Name)
	}
	r.store.SetFault(nil)
	until(func() bool { return r.anyReaderCurrent() })
	r.put(leaver, "draining")
	until(func() bool { return r.noneSendTo(leaver) })
	r.c.Check(r.noneSendTo(expired), qt.IsFalse, qt.Commentf("the nodes learned of the leaving only when the expired entries counted as gone"))
}

// anyReaderCurrent reports whether a reader has had an answer from the store in the last
// 100 ms.
func (r *storeHarness) anyReaderCurrent() bool {
	for _, m := range r.machines {
		if age := m.node.parts.Node.Status().SourceAge; age >= 0 && age < 100 {
			return true
		}
	}
	return false
}
