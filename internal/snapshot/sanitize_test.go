package snapshot_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

func routeTo(service, name, host, prefix string) snapshot.TypedRoute {
	return snapshot.TypedRoute{
		Name: name, Host: host, PathPrefix: prefix, TimeoutMillis: 1000, MaxAttempts: 1,
		Targets: []snapshot.WeightedService{{Service: service, Weight: 1}},
	}
}

// sanitized returns the snapshot of routes that were sanitized.
func sanitized(c *qt.C, routes ...snapshot.TypedRoute) *snapshot.Snapshot {
	content := snapshot.Sanitize(snapshot.Content{Routes: routes})
	compiled := make([]snapshot.Route, 0, len(content.Routes))
	for _, route := range content.Routes {
		compiled = append(compiled, route.Compile())
	}
	built, err := snapshot.New(snapshot.Version{Revision: 1}, compiled, content.Services, nil)
	c.Assert(err, qt.IsNil)
	return built
}

// TestSanitizeLeavesValidContentAlone guards against a change of documents by which nodes of earlier versions
// would refuse configurations that they can use.
func TestSanitizeLeavesValidContentAlone(t *testing.T) {
	c := qt.New(t)
	priority := 2
	content := snapshot.Content{
		Services: []snapshot.Service{{Name: "a", Connections: 9}, {Name: "b"}},
		Routes:   []snapshot.TypedRoute{routeTo("a", "r", "h", "/"), routeTo("b", "s", "h", "/s/"), routeTo("b", "t", "i", "/s/")},
		Tenants:  []snapshot.Tenant{{Name: "t", KeyDigests: []snapshot.KeyDigest{snapshot.DigestKey("k")}, Priority: &priority}, {Name: "u"}},
		Limits:   &snapshot.CallerLimits{MaxBodyBytes: 7},
	}
	c.Assert(snapshot.Sanitize(content), qt.DeepEquals, content)
}

// TestRouteNamesAreMadeUnique checks that routes of equal names get names of their own, which do not depend on
// their order and are not those of other routes.
func TestRouteNamesAreMadeUnique(t *testing.T) {
	c := qt.New(t)
	routes := []snapshot.TypedRoute{
		routeTo("a", "r", "h", "/1/"), routeTo("a", "r", "i", "/2/"), routeTo("a", "r", "i", "/3/"), routeTo("a", "r@h", "j", "/4/"),
		routeTo("a", "", "k", "/5/"), routeTo("a", strings.Repeat("n", 5000), "k", "/6/"), routeTo("a", "own", "k", "/7/"),
	}
	current := sanitized(c, routes...)
	names := map[string]bool{}
	for _, route := range routes {
		found := current.Lookup(http.MethodGet, route.Host, route.PathPrefix+"x", nil)
		c.Assert(found, qt.IsNotNil)
		c.Check(found.Unusable, qt.IsFalse)
		c.Check(len(found.Name) <= snapshot.MaxTypedNameBytes, qt.IsTrue)
		names[found.Name] = true
	}
	c.Check(names, qt.HasLen, len(routes))
	c.Check(names["own"] && names["r@h"], qt.IsTrue)
	c.Check(current.Faults()[0].Kind, qt.Equals, snapshot.KindService) // only that the service is not listed
	c.Check(current.Faults(), qt.HasLen, 1)
}

// TestUnusableRouteTakesItsRequests checks in any order of declaration that the requests of a route which
// cannot be used reach no other route, and that one without a path takes only what no other route takes.
func TestUnusableRouteTakesItsRequests(t *testing.T) {
	unusable := routeTo("a", "odd", "h", "/a/odd/")
	unusable.Targets = nil
	withoutPath := routeTo("a", "no-path", "h", "")
	routes := []snapshot.TypedRoute{unusable, withoutPath, routeTo("a", "root", "h", "/"), routeTo("a", "a", "h", "/a/"), routeTo("a", "below", "h", "/a/odd/b/")}
	for shift := range routes {
		t.Run(fmt.Sprint(shift), func(t *testing.T) {
			c := qt.New(t)
			current := sanitized(c, append(routes[shift:len(routes):len(routes)], routes[:shift]...)...)
			for path, want := range map[string]string{
				"/a/odd/x": "odd", "/a/odd/b/x": "below", "/a/oddly": "a", "/a/x": "a", "/x": "root", "*": "no-path",
			} {
				found := current.Lookup(http.MethodGet, "h", path, nil)
				c.Assert(found, qt.IsNotNil)
				c.Check(found.Name, qt.Equals, want)
				c.Check(found.Unusable, qt.Equals, want == "odd" || want == "no-path")
			}
			c.Check(current.HasUnusableRoutes(), qt.IsTrue)
			c.Check(current.Lookup(http.MethodGet, "other", "/a/odd/x", nil), qt.IsNil)
		})
	}
}

// TestHostsWithPorts checks that a route for a host with a port takes only requests for that port, before
// those for the host with any port.
func TestHostsWithPorts(t *testing.T) {
	c := qt.New(t)
	current := sanitized(c, routeTo("a", "any", "h", "/"), routeTo("a", "port", "H:8443", "/p/"), routeTo("a", "alone", "i:80", "/"))
	for _, row := range []struct{ host, path, want string }{
		{"h", "/p/x", "any"}, {"h:80", "/p/x", "any"}, {"h:8443", "/p/x", "port"}, {"H:8443", "/p/x", "port"}, {"h:8443", "/x", "any"},
		{"h.", "/x", "any"}, {"i:80", "/x", "alone"}, {"i", "/x", ""}, {"i:81", "/x", ""},
	} {
		found := current.Lookup(http.MethodGet, row.host, row.path, nil)
		c.Assert(found != nil, qt.Equals, row.want != "", qt.Commentf("%+v", row))
		if found == nil {
			continue
		}
		c.Check(found.Name, qt.Equals, row.want, qt.Commentf("%+v", row))
		for _, verdict := range current.Explain(http.MethodGet, row.host, row.path, nil) {
			c.Check(verdict.Verdict == snapshot.VerdictChosen, qt.Equals, verdict.Route.Name == row.want)
		}
	}
}

// TestUnusableRouteRanksNothing guards against requests that are ranked by priority because of a route that
// serves none.
func TestUnusableRouteRanksNothing(t *testing.T) {
	c := qt.New(t)
	unusable, low, urgent := routeTo("a", "odd", "h", "/odd/"), routeTo("a", "low", "h", "/low/"), routeTo("a", "urgent", "h", "/urgent/")
	unusable.Targets, low.Priority = nil, 1
	c.Check(sanitized(c, unusable, low).RanksRoutes(), qt.IsFalse)
	c.Check(sanitized(c, unusable, urgent).RanksRoutes(), qt.IsFalse)
	c.Check(sanitized(c, unusable, low, urgent).RanksRoutes(), qt.IsTrue)
}
