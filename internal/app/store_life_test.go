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

// putLife writes the entry of an instance that started at a Unix millisecond.
func (r *storeRig) putLife(index int, born int64) snapshot.Revision {
	m := r.machines[index]
	return snapshot.Revision(r.store.Put("servers/"+m.instance.Name, fmt.Appendf(nil,
		`{"born":%d,"address":"%s:%d","info":{"service":%q,"zone":"z","slots":4},"status":{"state":"ready","sequence":1}}`, born, m.ip, r.app, m.service)))
}

// TestStoreInstanceStartsAgainUnderItsName: an instance said that it is another one than was
// meant, and started again under its name. Its node remembered the name for 10 s and refused
// the new process for 8.6 s, though its entry told of the new start.
func TestStoreInstanceStartsAgainUnderItsName(t *testing.T) {
	r := newStoreRig(t, []string{"front", "data"}, func(_ int, emulated *instance.Instance) {
		emulated.Plan = func(id string) instance.Fault {
			if strings.HasPrefix(id, "other") {
				return instance.OtherInstance
			}
			return instance.None
		}
	})
	r.putLife(1, 1000)
	r.startAll()
	r.await(r.putLife(1, 1000))
	r.c.Assert(r.ask(0, http.MethodGet, "/read/x", "other-1").status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Assert(r.ask(1, http.MethodGet, "/read/x", "same-life").status, qt.Equals, http.StatusServiceUnavailable)
	r.await(r.putLife(1, 2000))
	got := r.ask(0, http.MethodGet, "/read/x", "next-life")
	r.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
}
