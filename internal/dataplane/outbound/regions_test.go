package outbound

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/tenancy"
)

// drawRegions draws allowed regions; none means all.
func drawRegions(t *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"north", "south", "east", "unused"}), 0, 3, rapid.ID[string]).Draw(t, label)
}

// TestRegionsOfRouteAndTenantBothApply draws zones, instances and the allowed regions of a route and a
// tenant. All sends of a request choose among the same instances: exactly those in a zone whose region is
// known and allowed by both.
func TestRegionsOfRouteAndTenantBothApply(t *testing.T) {
	c := qt.New(t)
	empty, err := snapshot.New(snapshot.Version{Revision: 1}, nil, nil, nil)
	c.Assert(err, qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		regions := make(map[string]string)
		for zone := range rapid.IntRange(1, 5).Draw(t, "zones") {
			if region := rapid.SampledFrom([]string{"north", "south", "east", ""}).Draw(t, "region"); region != "" {
				regions[fmt.Sprint("zone-", zone)] = region
			}
		}
		var listed []snapshot.Instance
		for i := range rapid.IntRange(0, 12).Draw(t, "instances") {
			listed = append(listed, snapshot.Instance{
				Name: fmt.Sprint("i-", i), Service: "a", Address: fmt.Sprintf("10.0.0.%d:80", i+1), State: snapshot.InstanceReady,
				Zone: fmt.Sprint("zone-", rapid.IntRange(0, 5).Draw(t, "zone")),
			})
		}
		route := &snapshot.Route{AllowedRegions: drawRegions(t, "regions of the route")}
		identity := tenancy.Identity{}
		if rapid.Bool().Draw(t, "has a key") {
			identity.Tenant = &snapshot.Tenant{Name: "t", AllowedRegions: drawRegions(t, "regions of the tenant")}
		}
		allows := func(allowed []string, region string) bool {
			return len(allowed) == 0 || slices.Contains(allowed, region)
		}
		wanted := make(map[string]bool)
		for _, instance := range listed {
			region := regions[instance.Zone]
			if allows(route.AllowedRegions, region) && (identity.Tenant == nil || allows(identity.Tenant.AllowedRegions, region)) {
				wanted[instance.Name] = true
			}
		}
		sent := &exchange{
			proxy: &Proxy{options: Options{Regions: regions, Statements: statement.NewTracker()}}, route: route, identity: identity, service: "a",
			current: empty.WithFleet(snapshot.Version{Revision: 2}, snapshot.Content{Instances: listed}),
		}
		for range 2 { // the first send and a repeat
			found := make(map[string]bool)
			for _, instance := range sent.instances() {
				found[instance.Name] = true
			}
			if fmt.Sprint(found) != fmt.Sprint(wanted) {
				t.Fatalf("may serve: %v, want %v", found, wanted)
			}
		}
		if sent.isOutsideRegions() != (len(wanted) == 0 && len(listed) > 0) {
			t.Fatalf("outside the allowed regions: %v", sent.isOutsideRegions())
		}
	})
}
