package app

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// putStartedAt writes the entry of an instance that started at the given Unix time in
// milliseconds.
func (r *storeHarness) putStartedAt(index int, born int64) snapshot.Revision {
	m := r.machines[index]
	return snapshot.Revision(r.store.Put("servers/"+m.instance.Name, fmt.Appendf(nil,
		`{"born":%d,"address":"%s:%d","info":{"service":%q,"zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, born, m.ip, r.backend, m.service)))
}

// TestStoreInstanceRestartsUnderItsName has an instance answer that it is not the expected
// one, and then restart under its name. An entry with a new start time is a new process: its
// node must not refuse the requests to it because the previous process had the same name.
func TestStoreInstanceRestartsUnderItsName(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data"}, func(_ int, emulated *instance.Instance) {
		emulated.Plan = func(id string) instance.Fault {
			if strings.HasPrefix(id, "other") {
				return instance.OtherInstance
			}
			return instance.None
		}
	})
	r.putStartedAt(1, 1000)
	r.startAll()
	r.awaitRevision(r.putStartedAt(1, 1000))
	r.c.Assert(r.send(0, http.MethodGet, "/read/x", "other-1").status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Assert(r.send(1, http.MethodGet, "/read/x", "before-restart").status, qt.Equals, http.StatusServiceUnavailable)
	r.awaitRevision(r.putStartedAt(1, 2000))
	got := r.send(0, http.MethodGet, "/read/x", "after-restart")
	r.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
}
