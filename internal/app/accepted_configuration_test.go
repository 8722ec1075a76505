package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/platform"
)

// drawnRoute is a route of a configuration in the format of the store.
type drawnRoute struct {
	Name             string           `json:"name"`
	PathPrefix       string           `json:"pathPrefix"`
	Kind             string           `json:"kind"`
	TimeoutMs        int64            `json:"timeoutMs"`
	TargetLatencyMs  int64            `json:"targetLatencyMs"`
	Priority         int              `json:"priority"`
	MaxAttempts      int              `json:"maxAttempts"`
	WeightedServices []map[string]any `json:"weightedServices"`
}

// drawRoute draws a route far beyond the values that configurations usually have.
func drawRoute(t *rapid.T, index int) drawnRoute {
	segments := rapid.IntRange(1, 200).Draw(t, "segments")
	route := drawnRoute{
		Name:            fmt.Sprintf("r%d-%s", index, strings.Repeat("n", rapid.IntRange(0, 4000).Draw(t, "name bytes"))),
		PathPrefix:      fmt.Sprintf("/p%d/%s", index, strings.Repeat("s/", segments)),
		Kind:            rapid.SampledFrom([]string{"safe", "unsafe", "upload", "download"}).Draw(t, "kind"),
		TimeoutMs:       rapid.Int64Range(1, 1<<40).Draw(t, "timeout"),
		TargetLatencyMs: rapid.Int64Range(0, 1<<40).Draw(t, "target latency"),
		Priority:        rapid.IntRange(0, 1<<31).Draw(t, "priority"),
		MaxAttempts:     rapid.IntRange(1, 1<<31).Draw(t, "attempts"),
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "targets") {
		weight := rapid.IntRange(1, 1<<31).Draw(t, "weight")
		route.WeightedServices = append(route.WeightedServices, map[string]any{"service": fmt.Sprint("s", i), "weight": weight})
	}
	return route
}

// storeWith is a store that lists one configuration.
func storeWith(t interface{ Fatalf(string, ...any) }, configuration []byte) *httptest.Server {
	answer, err := json.Marshal(map[string]any{
		"items": []map[string]any{{"privateKey": "op/config", "value": configuration, "revision": 3, "made": 3}}, "at": 3,
	})
	if err != nil {
		t.Fatalf("encode the answer: %v", err)
	}
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
}

func readDocument(t interface{ Fatalf(string, ...any) }, configuration []byte) *snapshot.Document {
	server := storeWith(t, configuration)
	defer server.Close()
	store := platform.NewStore(server.URL, (&net.Dialer{}).DialContext)
	defer store.Close()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	followed, err := mirror.New(mirror.Options{Store: store, Logger: logger, Validate: validateConfiguration, Timeout: 10 * time.Second})
	if err != nil {
		t.Fatalf("%v", err)
	}
	defer followed.Close()
	document, outcome := followed.Fetch(context.Background(), snapshot.Version{})
	if outcome.Status != source.StatusFresh {
		t.Fatalf("the configuration was not read: %v", outcome.Err)
	}
	return document
}

// TestAcceptedConfigurationsComeIntoForce checks that a configuration which the store has accepted comes into
// force whatever legal values it has. A configuration that is refused stays out of force for good, and after
// a restart of all nodes nothing is served.
func TestAcceptedConfigurationsComeIntoForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := []map[string]any{}
		for i := range 4 {
			services = append(services, map[string]any{
				"name": fmt.Sprint("s", i), "maxConnections": rapid.IntRange(0, 1<<31).Draw(t, "connections"),
				"coldStartS": rapid.IntRange(0, 1<<31).Draw(t, "cold start"), "coldPerS": rapid.IntRange(0, 1<<31).Draw(t, "cold rate"),
			})
		}
		routes := []drawnRoute{}
		for i := range rapid.IntRange(1, 5).Draw(t, "routes") {
			routes = append(routes, drawRoute(t, i))
		}
		configuration, err := json.Marshal(map[string]any{
			"version": 7, "services": services, "virtualHosts": []map[string]any{{"host": "a.example", "paths": routes}},
		})
		if err != nil {
			t.Fatalf("%v", err)
		}
		compiled, err := policy.Compile(readDocument(t, configuration), &membership.View{})
		if err != nil {
			t.Fatalf("not in force: %v", err)
		}
		for _, route := range routes {
			found := compiled.Lookup(http.MethodGet, "a.example", route.PathPrefix+"x", nil)
			if found == nil || found.Name != route.Name || found.Priority != route.Priority || found.MaxAttempts != route.MaxAttempts {
				t.Fatalf("route %.20s is not in force: %+v", route.Name, found)
			}
		}
	})
}

// TestManyAcceptedRoutesAndServicesComeIntoForce checks the same for as many of them as fit into one entry.
func TestManyAcceptedRoutesAndServicesComeIntoForce(t *testing.T) {
	c := qt.New(t)
	services, paths := []map[string]any{}, []map[string]any{}
	for i := range 8000 {
		services = append(services, map[string]any{"name": fmt.Sprint("s", i)})
		paths = append(paths, map[string]any{"name": fmt.Sprint("r", i), "pathPrefix": fmt.Sprintf("/%d/", i), "service": fmt.Sprint("s", i)})
	}
	configuration, err := json.Marshal(map[string]any{
		"version": 7, "services": services, "virtualHosts": []map[string]any{{"host": "a.example", "paths": paths}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(len(configuration) <= 1<<20, qt.IsTrue, qt.Commentf("%d bytes", len(configuration)))
	compiled, err := policy.Compile(readDocument(t, configuration), &membership.View{})
	c.Assert(err, qt.IsNil)
	c.Assert(len(compiled.Routes()), qt.Equals, len(paths))
}

// TestLargestConfigurationsComeIntoForce guards against entries of 1 MiB whose documents would exceed the limits
// of documents: what fits comes into force, in the order of the entry, and the rest is counted.
func TestLargestConfigurationsComeIntoForce(t *testing.T) {
	long := strings.Repeat("h", 240) + ".example"
	for name, row := range map[string]struct{ host, path string }{
		"many routes":            {"a.example", `{"pathPrefix":"/%d/","service":"s"}`},
		"a long host":            {long, `{"pathPrefix":"/%d/","service":"s"}`},
		"many services":          {"a.example", `{"pathPrefix":"/%d/","service":"s%[1]d"}`},
		"names that are escaped": {"a.example", `{"name":"%d` + strings.Repeat("<", 3000) + `","pathPrefix":"/%[1]d/","service":"s"}`},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			paths := &strings.Builder{}
			for i := 0; paths.Len() < 1<<20-1000; i++ {
				if i > 0 {
					paths.WriteByte(',')
				}
				_, _ = fmt.Fprintf(paths, row.path, i)
			}
			configuration := fmt.Sprintf(`{"version":7,"virtualHosts":[{"host":%q,"paths":[%s]}]}`, row.host, paths)
			compiled, err := policy.Compile(readDocument(t, []byte(configuration)), &membership.View{})
			c.Assert(err, qt.IsNil)
			c.Check(compiled.Lookup(http.MethodGet, row.host, "/7/x", nil), qt.IsNotNil)
			c.Check(len(compiled.Routes()) > 100, qt.IsTrue)
			for _, fault := range compiled.Faults() {
				c.Logf("%d routes; %s: %s", len(compiled.Routes()), fault.Kind, fault.Problem)
			}
		})
	}
}
