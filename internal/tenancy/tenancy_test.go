package tenancy_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/tenancy"
)

const key = "2b7e-secret"

func snapshotWith(c *qt.C, tenants ...snapshot.Tenant) *snapshot.Snapshot {
	built, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
	c.Assert(err, qt.IsNil)
	built, err = built.WithTenants(tenants)
	c.Assert(err, qt.IsNil)
	return built
}

func TestAuthenticate(t *testing.T) {
	c := qt.New(t)
	current := snapshotWith(c, snapshot.Tenant{Name: "a", KeyDigests: []snapshot.KeyDigest{snapshot.DigestKey(key)}})
	closed, open := &snapshot.Route{}, &snapshot.Route{AllowAnonymous: true}
	for name, row := range map[string]struct {
		route   *snapshot.Route
		values  []string
		tenant  string
		refusal tenancy.Refusal
	}{
		"known key":                {closed, []string{"Bearer " + key}, "a", ""},
		"scheme in lower case":     {closed, []string{"bearer " + key}, "a", ""},
		"several spaces":           {closed, []string{"Bearer   " + key + " "}, "a", ""},
		"known key, open route":    {open, []string{"Bearer " + key}, "a", ""},
		"no key":                   {closed, nil, "", tenancy.Missing},
		"no key, open route":       {open, nil, "", ""},
		"unknown key":              {closed, []string{"Bearer x"}, "", tenancy.Unknown},
		"unknown key, open route":  {open, []string{"Bearer x"}, "", tenancy.Unknown},
		"twice":                    {closed, []string{"Bearer " + key, "Bearer " + key}, "", tenancy.Repeated},
		"two in one":               {closed, []string{"Bearer " + key + ", Bearer " + key}, "", tenancy.Malformed},
		"no scheme":                {closed, []string{key}, "", tenancy.Malformed},
		"other scheme":             {closed, []string{"Basic " + key}, "", tenancy.Malformed},
		"empty key":                {closed, []string{"Bearer "}, "", tenancy.Malformed},
		"empty value":              {closed, []string{""}, "", tenancy.Malformed},
		"key with another suffix":  {closed, []string{"Bearer " + key + "x"}, "", tenancy.Unknown},
		"key in another case":      {closed, []string{"Bearer 2B7E-secret"}, "", tenancy.Unknown},
		"malformed, on open route": {open, []string{"nonsense"}, "", tenancy.Malformed},
	} {
		c.Run(name, func(c *qt.C) {
			header := http.Header{}
			if row.values != nil {
				header[tenancy.HeaderAuthorization] = row.values
			}
			identity, refusal := tenancy.Authenticate(current, row.route, header)
			c.Check(refusal, qt.Equals, row.refusal)
			c.Check(identity.Name(), qt.Equals, row.tenant)
		})
	}
}

// Without tenants, the header belongs to the applications.
func TestNoTenants(t *testing.T) {
	c := qt.New(t)
	identity, refusal := tenancy.Authenticate(snapshotWith(c), &snapshot.Route{}, http.Header{tenancy.HeaderAuthorization: {"Basic x"}})
	c.Check(refusal, qt.Equals, tenancy.Refusal(""))
	c.Check(identity.IsAnonymous(), qt.IsTrue)
}

// An identity ends with its key, also when the key passes to another tenant.
func TestIdentityInALaterConfiguration(t *testing.T) {
	c := qt.New(t)
	digests := []snapshot.KeyDigest{snapshot.DigestKey(key)}
	identity, _ := tenancy.Authenticate(snapshotWith(c, snapshot.Tenant{Name: "a", KeyDigests: digests}), &snapshot.Route{},
		http.Header{tenancy.HeaderAuthorization: {"Bearer " + key}})
	c.Check(identity.IsValid(snapshotWith(c, snapshot.Tenant{Name: "a", KeyDigests: digests})), qt.IsTrue)
	c.Check(identity.IsValid(snapshotWith(c, snapshot.Tenant{Name: "a"})), qt.IsFalse)
	c.Check(identity.IsValid(snapshotWith(c, snapshot.Tenant{Name: "a"}, snapshot.Tenant{Name: "b", KeyDigests: digests})), qt.IsFalse)
}

func TestPriorityAndRegions(t *testing.T) {
	c := qt.New(t)
	urgent := 0
	route := &snapshot.Route{Priority: 2, AllowedRegions: []string{"x", "y"}}
	tenant := tenancy.Identity{Tenant: &snapshot.Tenant{Name: "a", Priority: &urgent, AllowedRegions: []string{"y", "z"}}}
	c.Check(tenancy.Priority(route, tenancy.Identity{}), qt.Equals, 2)
	c.Check(tenancy.Priority(route, tenant), qt.Equals, 0)
	c.Check(tenancy.Priority(route, tenancy.Identity{Tenant: &snapshot.Tenant{}}), qt.Equals, 2)
	for region, allowed := range map[string]bool{"x": false, "y": true, "z": false, "": false} {
		c.Check(tenancy.AllowsRegion(route, tenant, region), qt.Equals, allowed, qt.Commentf(region))
	}
	c.Check(tenancy.AllowsRegion(route, tenancy.Identity{}, "x"), qt.IsTrue)
	c.Check(tenancy.AllowsRegion(&snapshot.Route{}, tenancy.Identity{}, "any"), qt.IsTrue)
	c.Check(tenancy.RestrictsRegions(&snapshot.Route{}, tenancy.Identity{}), qt.IsFalse)
	c.Check(tenancy.RestrictsRegions(&snapshot.Route{}, tenant), qt.IsTrue)
}

func BenchmarkAuthenticate(b *testing.B) {
	c := qt.New(b)
	tenants := make([]snapshot.Tenant, 1000)
	for i := range tenants {
		tenants[i].Name = string(rune('a'+i%26)) + string(rune('0'+i/26))
	}
	tenants[0].KeyDigests = []snapshot.KeyDigest{snapshot.DigestKey(key)}
	current := snapshotWith(c, tenants...)
	header := http.Header{tenancy.HeaderAuthorization: {"Bearer " + key}}
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := tenancy.Authenticate(current, &snapshot.Route{}, header); refusal != "" {
			b.Fatal(refusal)
		}
	}
}
