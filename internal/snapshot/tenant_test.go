package snapshot_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

func tenantOf(name string, keys ...string) snapshot.Tenant {
	tenant := snapshot.Tenant{Name: name, RequestsPerSecond: 10, Burst: 20}
	for _, key := range keys {
		tenant.KeyDigests = append(tenant.KeyDigests, snapshot.DigestKey(key))
	}
	return tenant
}

func emptySnapshot(c *qt.C) *snapshot.Snapshot {
	built, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
	c.Assert(err, qt.IsNil)
	return built
}

// A document has to name each tenant once, with possible quotas; a snapshot has to find one owner
// for each key.
func TestInvalidTenants(t *testing.T) {
	negative := -1
	for name, tenants := range map[string][]snapshot.Tenant{
		"no name":        {{Name: ""}},
		"twice":          {tenantOf("a"), tenantOf("a")},
		"negative rate":  {{Name: "a", RequestsPerSecond: -1}},
		"negative burst": {{Name: "a", Burst: -0.5}},
		"priority":       {{Name: "a", Priority: &negative}},
		"not UTF-8":      {{Name: "a\xff"}},
		"long name":      {{Name: strings.Repeat("a", snapshot.MaxTypedNameBytes+1)}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := snapshot.NewDocument(snapshot.Content{Revision: 1, Tenants: tenants})
			qt.Check(t, err, qt.IsNotNil)
		})
	}
	c := qt.New(t)
	_, err := emptySnapshot(c).WithTenants([]snapshot.Tenant{tenantOf("a", "k1"), tenantOf("b", "k2", "k1")})
	c.Check(err, qt.ErrorMatches, `tenants "a" and "b" have the same key`)
}

func TestTenantOfKey(t *testing.T) {
	c := qt.New(t)
	current, err := emptySnapshot(c).WithTenants([]snapshot.Tenant{tenantOf("a", "k1", "k2"), tenantOf("b", "k3"), tenantOf("without keys")})
	c.Assert(err, qt.IsNil)
	c.Check(current.TenantOfKey(snapshot.DigestKey("k2")).Name, qt.Equals, "a")
	c.Check(current.TenantOfKey(snapshot.DigestKey("k3")).Name, qt.Equals, "b")
	c.Check(current.TenantOfKey(snapshot.DigestKey("k4")), qt.IsNil)
	c.Check(current.RequiresKeys(), qt.IsTrue)
	c.Check(emptySnapshot(c).RequiresKeys(), qt.IsFalse)
	withoutTenants := emptySnapshot(c).WithFleet(snapshot.Version{Revision: 2}, snapshot.Content{Limits: &snapshot.CallerLimits{RequireKeys: true}})
	c.Check(withoutTenants.RequiresKeys(), qt.IsTrue)
}

// Tenants travel between nodes as resources of a document. A change of a key must change the version
// and the routing, or nodes would go on with revoked keys.
func TestTenantsInDeltas(t *testing.T) {
	c := qt.New(t)
	before, err := snapshot.NewDocument(snapshot.Content{Revision: 1, Tenants: []snapshot.Tenant{tenantOf("a", "k1", "k2"), tenantOf("b", "k3")}})
	c.Assert(err, qt.IsNil)
	after, err := snapshot.NewDocument(snapshot.Content{Revision: 2, Tenants: []snapshot.Tenant{tenantOf("a", "k1"), tenantOf("b", "k3")}})
	c.Assert(err, qt.IsNil)
	c.Check(snapshot.SameRouting(before, after), qt.IsFalse)
	c.Check(after.Version().Hash, qt.Not(qt.Equals), before.Version().Hash)

	applied, err := snapshot.Diff(before, after).Apply(before)
	c.Assert(err, qt.IsNil)
	c.Check(applied.Content().Tenants, qt.DeepEquals, after.Content().Tenants)
	whole, err := snapshot.Diff(nil, after).Apply(nil)
	c.Assert(err, qt.IsNil)
	c.Check(whole.Content().Tenants, qt.DeepEquals, after.Content().Tenants)

	moved, err := after.WithFleet(3, nil, nil)
	c.Assert(err, qt.IsNil)
	c.Check(moved.Content().Tenants, qt.HasLen, 2)
	c.Check(snapshot.SameRouting(after, moved), qt.IsTrue)
}

// Documents hold digests only, and errors about them show nothing of what was read.
func TestKeysAreNotInDocuments(t *testing.T) {
	c := qt.New(t)
	const key = "a-secret-key"
	encoded, err := json.Marshal(tenantOf("a", key))
	c.Assert(err, qt.IsNil)
	c.Check(strings.Contains(string(encoded), key), qt.IsFalse)
	for _, text := range []string{key, strings.Repeat("x", 64)} {
		var digest snapshot.KeyDigest
		err := digest.UnmarshalText([]byte(text))
		c.Assert(err, qt.IsNotNil)
		c.Check(strings.Contains(err.Error(), text), qt.IsFalse)
	}
}
