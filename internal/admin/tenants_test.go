package admin_test

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// fixedUsage is a usage that does not change.
type fixedUsage []quota.Usage

func (u fixedUsage) Usage() []quota.Usage { return u }

// TestTenants checks that operators see each tenant with its quota and what it used, but not its keys.
func TestTenants(t *testing.T) {
	c := qt.New(t)
	node := newFakeNode(c)
	var err error
	node.current, err = node.current.WithTenants([]snapshot.Tenant{
		{Name: "b", KeyDigests: []snapshot.KeyDigest{snapshot.DigestKey("k1"), snapshot.DigestKey("k2")}, RequestsPerSecond: 5, Burst: 7},
		{Name: "a"},
	})
	c.Assert(err, qt.IsNil)
	used := fixedUsage{{Tenant: "b", AdmittedPerSecond: 4, RefusedPerSecond: 1, DecidedBy: quota.FromOwner, DecidedAgo: time.Second}}
	server := httptest.NewServer(admin.New(admin.Options{
		Snapshots: node, Fleet: node, Status: node, Quota: used, Gatherer: prometheus.NewRegistry(), Logger: logging.Discard(),
	}))
	c.Cleanup(server.Close)
	list, err := admin.NewClient(server.Listener.Addr().String()).Tenants(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(list, qt.DeepEquals, admin.TenantList{Version: node.current.Version(), Tenants: []admin.Tenant{
		{Name: "a"},
		{Name: "b", Keys: 2, RequestsPerSecond: 5, Burst: 7, Used: &admin.TenantRates{
			AdmittedPerSecond: 4, RefusedPerSecond: 1, DecidedBy: "owner", DecidedAgo: admin.Duration(time.Second),
		}},
	}})
}
