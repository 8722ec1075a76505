package admin_test

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/suspects"
)

// TestSuspects checks that operators can list the requests that may crash instances and clear
// one of them.
func TestSuspects(t *testing.T) {
	c := qt.New(t)
	tracker := suspects.NewTracker()
	quarantined, bystander := suspects.NewFingerprint("GET", "h", "/a", nil), suspects.NewFingerprint("GET", "h", "/b", nil)
	tracker.Crashed("i-1", []suspects.InProgress{{Fingerprint: quarantined}, {Fingerprint: bystander}})
	node := newFakeNode(c)
	server := httptest.NewServer(admin.New(admin.Options{Snapshots: node, Fleet: node, Status: node, Suspects: tracker,
		Gatherer: prometheus.NewRegistry(), Logger: logging.Discard()}))
	defer server.Close()
	client := admin.NewClient(server.Listener.Addr().String())

	list, err := client.Suspects(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Suspects, qt.HasLen, 2)
	c.Check(list.Suspects[0].Standing, qt.Equals, "suspected")

	tracker.Crashed("i-2", []suspects.InProgress{{Fingerprint: quarantined, Probe: true}})
	list, err = client.Suspects(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Suspects, qt.HasLen, 1) // the probe explains the first crash, so the bystander is clear
	c.Check(list.Suspects[0].Fingerprint, qt.Equals, quarantined.String())
	c.Check(list.Suspects[0].Standing, qt.Equals, "quarantined")
	c.Check(list.Suspects[0].Crashes, qt.Equals, 2)
	c.Check(list.Suspects[0].RefusedUntil.IsZero(), qt.IsFalse)

	_, err = client.ClearSuspect(t.Context(), "no fingerprint")
	c.Check(err, qt.ErrorMatches, ".*400.*is no fingerprint.*")
	_, err = client.ClearSuspect(t.Context(), suspects.NewFingerprint("GET", "h", "/c", nil).String())
	c.Check(err, qt.ErrorMatches, ".*404: nothing stands against.*")
	_, err = client.ClearSuspect(t.Context(), quarantined.String())
	c.Assert(err, qt.IsNil)
	c.Check(tracker.Assess(quarantined).Standing, qt.Equals, suspects.Clear)
	c.Check(tracker.Assess(bystander).Standing, qt.Equals, suspects.Suspected) // without the probe, nothing explains the first crash
}
