package policy_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	benchmarkServices         = 30
	benchmarkRoutesPerService = 10
)

// benchmarkDocument returns a document with 30 services and 300 routes. Each service
// has a policy with one condition, so each policy runs twice.
func benchmarkDocument(b *testing.B) *snapshot.Document {
	content := snapshot.Content{Revision: 1, Secrets: []snapshot.Secret{{Name: "token", Value: "demo"}}}
	for i := range benchmarkServices {
		name := fmt.Sprint("service-", i)
		content.Services = append(content.Services, snapshot.Service{Name: name})
		content.Policies = append(content.Policies, snapshot.Policy{Name: name + ".star", Program: fmt.Sprintf(`
TOKEN = secret_header(header = "Authorization", secret = "token", prefix = "Bearer ")
spill_over = 0.8
if not ready("%[1]s", at_least = 2):
    spill_over = 0.5
for number in range(%[2]d):
    route(
        name = "route-%%d" %% number,
        host = "%[1]s.mesh",
        path = "/resources/" + str(number),
        methods = ["GET", "HEAD", "POST"],
        to = "%[1]s",
        timeout = "2s",
        spill_over = spill_over,
        secrets = [TOKEN],
    )
`, name, benchmarkRoutesPerService)})
	}
	document, err := snapshot.NewDocument(content)
	qt.Assert(b, err, qt.IsNil)
	return document
}

func BenchmarkCompile(b *testing.B) {
	document := benchmarkDocument(b)
	b.ReportAllocs()
	for b.Loop() {
		compiled, err := policy.Compile(document, readyCounts{})
		if err != nil || len(compiled.Routes()) != benchmarkServices*benchmarkRoutesPerService {
			b.Fatalf("%v, %v", compiled, err)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	compiled, err := policy.Compile(benchmarkDocument(b), readyCounts{})
	qt.Assert(b, err, qt.IsNil)
	header := http.Header{"Accept": {"*/*"}}
	b.ReportAllocs()
	for b.Loop() {
		if compiled.Lookup("POST", "service-29.mesh:8080", "/resources/9/parts/12", header) == nil {
			b.Fatal("no route")
		}
	}
}

// BenchmarkCompileTyped measures building a snapshot of 2000 routes that are declared
// as data rather than by programs.
func BenchmarkCompileTyped(b *testing.B) {
	content := snapshot.Content{Revision: 1, Services: []snapshot.Service{{Name: "a"}}}
	for i := range 2000 {
		content.Routes = append(content.Routes, snapshot.TypedRoute{
			Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("h%d.example", i%20), PathPrefix: fmt.Sprintf("/p%d/", i),
			TimeoutMillis: 1000, MaxAttempts: 2, Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}},
		})
	}
	document, err := snapshot.NewDocument(content)
	qt.Assert(b, err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		plan, err := policy.NewPlan(document)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := plan.Snapshot(nil); err != nil {
			b.Fatal(err)
		}
	}
}
