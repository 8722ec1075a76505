package admin_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestStatements checks that operators see which instances limit their requests or leave, for how long, and
// how many requests were refused, and no longer see a limit that has ended.
func TestStatements(t *testing.T) {
	c := qt.New(t)
	tracker := statement.NewTracker()
	limited, leaving, former := snapshot.InstanceID{Name: "i-1"}, snapshot.InstanceID{Name: "i-2"}, snapshot.InstanceID{Name: "i-3"}
	since := time.Now().Add(-time.Minute)
	stated := statement.Statement{Limit: statement.Limit{Stated: true, PerSecond: 4.2}}
	tracker.Observe(limited, stated, since, since)
	tracker.CountRefusal(limited)
	tracker.Observe(leaving, statement.Statement{Leaving: true}, since, since)
	tracker.Observe(former, stated, since, since)
	tracker.Observe(former, statement.Statement{}, since.Add(time.Second), since.Add(time.Second))
	node := newFakeNode(c)
	server := httptest.NewServer(admin.New(admin.Options{
		Snapshots: node, Fleet: node, Status: node, Statements: tracker, Gatherer: prometheus.NewRegistry(), Logger: logging.Discard(),
	}))
	c.Cleanup(server.Close)
	list, err := admin.NewClient(server.Listener.Addr().String()).Statements(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(list.Statements, qt.HasLen, 2)
	c.Check(*list.Statements[0].Limit, qt.Equals, 4.2)
	c.Check(list.Statements[0].Refused, qt.Equals, 1)
	c.Check(list.Statements[0].LimitedFor >= admin.Duration(time.Minute), qt.IsTrue)
	c.Check(list.Statements[1].Limit, qt.IsNil)
	c.Check(list.Statements[1].LeavingFor >= admin.Duration(time.Minute), qt.IsTrue)
}
