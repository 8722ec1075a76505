package snapshot_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/snapshot"
)

var services = []snapshot.Service{{Name: "a"}, {Name: "b"}}

func route(name string, match snapshot.Match) snapshot.Route {
	return snapshot.Route{
		Name: name, Match: match, Timeout: time.Second, MaxAttempts: 1,
		Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}},
	}
}

func newSnapshot(t failer, routes ...snapshot.Route) *snapshot.Snapshot {
	built, err := snapshot.New(snapshot.Version{Revision: 1}, routes, services, nil)
	noError(t, err)
	return built
}

func TestLookup(t *testing.T) {
	held := newSnapshot(t,
		route("any", snapshot.Match{}),
		route("any-trips", snapshot.Match{PathPrefix: "/trips"}),
		route("host", snapshot.Match{Host: "a.mesh"}),
		route("first", snapshot.Match{Host: "a.mesh", PathPrefix: "/trips/", Methods: []string{"GET"}}),
		route("second", snapshot.Match{Host: "a.mesh", PathPrefix: "/trips"}),
		route("urgent", snapshot.Match{Host: "a.mesh", PathPrefix: "/trips/7", Headers: map[string]string{"X-Kind": "urgent"}}),
	)
	urgent := http.Header{"X-Kind": {"urgent"}}
	for _, test := range []struct {
		method, host, path string
		header             http.Header
		expected           string
	}{
		{"GET", "b.mesh", "/", nil, "any"},
		{"GET", "b.mesh", "/trips/1/2", nil, "any-trips"},
		{"GET", "b.mesh", "/tripsheet", nil, "any"},
		{"GET", "A.Mesh:8080", "/trips", nil, "first"},
		{"GET", "a.mesh.", "/trips/7", nil, "first"},
		{"POST", "a.mesh", "/trips/7", nil, "second"},
		{"POST", "a.mesh", "/trips/7/x", urgent, "urgent"},
		{"POST", "a.mesh", "/trips/70", urgent, "second"},
		{"POST", "a.mesh", "/trips/7", http.Header{"X-Kind": {"urgent", "no"}}, "second"},
		{"GET", "a.mesh", "//trips", nil, "host"},
		{"OPTIONS", "a.mesh", "*", nil, "host"},
		{"GET", "[::1]:80", "/", nil, "any"},
		{"GET", "", "", nil, "any"},
	} {
		found := held.Lookup(test.method, test.host, test.path, test.header)
		qt.Assert(t, found.Name, qt.Equals, test.expected, qt.Commentf("%s %s%s", test.method, test.host, test.path))
	}
	allocations := testing.AllocsPerRun(100, func() { held.Lookup("POST", "A.mesh:80", "/trips/7/x", urgent) })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

// TestLookupIsTheFirstOfExplain compares the indexed lookup with a linear search through the routes
// in matching order.
func TestLookupIsTheFirstOfExplain(t *testing.T) {
	host := rapid.SampledFrom([]string{"", "a.mesh", "b.mesh"})
	path := rapid.StringMatching(`(/[ab]){0,3}/?`)
	method := rapid.SampledFrom([]string{"GET", "POST"})
	rapid.Check(t, func(t *rapid.T) {
		var routes []snapshot.Route
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			match := snapshot.Match{Host: host.Draw(t, "host"), PathPrefix: path.Draw(t, "path")}
			if rapid.Bool().Draw(t, "with method") {
				match.Methods = []string{method.Draw(t, "method")}
			}
			if rapid.Bool().Draw(t, "with header") {
				match.Headers = map[string]string{"X-Kind": "urgent"}
			}
			routes = append(routes, route(string(rune('a'+i)), match))
		}
		held := newSnapshot(t, routes...)
		header := http.Header{}
		if rapid.Bool().Draw(t, "urgent") {
			header.Set("X-Kind", "urgent")
		}
		requestMethod, requestHost, requestPath := method.Draw(t, "method"), host.Draw(t, "host"), path.Draw(t, "path")
		var expected *snapshot.Route
		for _, consideration := range held.Explain(requestMethod, requestHost, requestPath, header) {
			matches := consideration.Verdict == snapshot.VerdictChosen || consideration.Verdict == snapshot.VerdictShadowed
			if matches && expected == nil {
				expected = consideration.Route
			}
		}
		equal(t, held.Lookup(requestMethod, requestHost, requestPath, header), expected)
	})
}

func TestNewErrors(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(route *snapshot.Route)
		problem string
	}{
		{"no target", func(r *snapshot.Route) { r.Targets = nil }, `.*route "r": the route has no target`},
		{"unknown service", func(r *snapshot.Route) { r.Targets[0].Service = "c" }, `.*service "c" is not defined in this version`},
		{"weight", func(r *snapshot.Route) { r.Targets[0].Weight = 0 }, `.*weight 0 of service "a" .*`},
		{"unknown secret", func(r *snapshot.Route) { r.Secrets = []snapshot.SecretHeader{{Header: "X", Secret: "s"}} }, `.*secret "s" is not defined in this version`},
		{"no timeout", func(r *snapshot.Route) { r.Timeout = 0 }, `.*timeout 0s is not positive.*`},
		{"no attempt", func(r *snapshot.Route) { r.MaxAttempts = 0 }, `.*0 attempts are less than 1.*`},
		{"path", func(r *snapshot.Route) { r.Match.PathPrefix = "x" }, `.*path "x" does not start with a slash`},
		{"host", func(r *snapshot.Route) { r.Match.Host = "A:1" }, `.*host "A:1" is not.*`},
		{"no name", func(r *snapshot.Route) { r.Name = "" }, `.*the route has no name`},
	} {
		t.Run(test.name, func(t *testing.T) {
			corrupted := route("r", snapshot.Match{})
			test.corrupt(&corrupted)
			_, err := snapshot.New(snapshot.Version{Revision: 1}, []snapshot.Route{corrupted}, services, nil)
			qt.Assert(t, err, qt.ErrorMatches, test.problem)
		})
	}
	twice := []snapshot.Route{route("r", snapshot.Match{}), route("r", snapshot.Match{})}
	_, err := snapshot.New(snapshot.Version{Revision: 1}, twice, services, nil)
	qt.Assert(t, err, qt.ErrorMatches, `route "r" appears twice`)
}
