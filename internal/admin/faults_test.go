package admin_test

import (
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestFaults checks that operators see what is not used of the configuration in force, and which requests are
// refused because of it.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	node := newFakeNode(c)
	content := snapshot.Sanitize(snapshot.Content{
		Services: []snapshot.Service{{Name: "a"}},
		Routes:   []snapshot.TypedRoute{{Name: "odd", Host: "h", PathPrefix: "/odd/"}},
		Tenants:  []snapshot.Tenant{{Name: "t", Unusable: true, Fault: "allowedRegions is not a list of names"}},
	})
	built, err := snapshot.New(snapshot.Version{Revision: 4}, []snapshot.Route{content.Routes[0].Compile()}, content.Services, nil)
	c.Assert(err, qt.IsNil)
	node.current, err = built.WithTenants(content.Tenants)
	c.Assert(err, qt.IsNil)
	server := httptest.NewServer(admin.New(admin.Options{
		Snapshots: node, Fleet: node, Status: node, Gatherer: prometheus.NewRegistry(), Logger: logging.Discard(),
	}))
	c.Cleanup(server.Close)
	list, err := admin.NewClient(server.Listener.Addr().String()).Faults(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(list, qt.DeepEquals, admin.FaultList{Version: node.current.Version(), Faults: []admin.Fault{
		{Kind: "route", Name: "odd", Unusable: true, Problem: "the route has no target"},
		{Kind: "tenant", Name: "t", Unusable: true, Problem: "allowedRegions is not a list of names"},
	}})
}
