package snapshot_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// largeContent returns a content with the given number of routes and 100 instances.
func largeContent(routes int) snapshot.Content {
	content := snapshot.Content{Revision: 1, Services: []snapshot.Service{{Name: "a"}, {Name: "b"}}}
	for i := range routes {
		content.Routes = append(content.Routes, snapshot.TypedRoute{
			Name: fmt.Sprintf("route-%05d", i), Host: fmt.Sprintf("h%d.example", i%20), PathPrefix: fmt.Sprintf("/p%d/", i),
			TimeoutMillis: 1000, TargetLatencyMillis: 300, Priority: 1, MaxAttempts: 2,
			Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}},
		})
	}
	for i := range 100 {
		content.Instances = append(content.Instances, snapshot.Instance{
			Name: fmt.Sprintf("i-%03d", i), Service: "a", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Zone: "z", Slots: 8,
			State: snapshot.InstanceReady,
		})
	}
	return content
}

// BenchmarkApply measures applying a change of one instance, of one route, and a whole document, by
// number of routes.
func BenchmarkApply(b *testing.B) {
	for _, routes := range []int{600, 2000} {
		content := largeContent(routes)
		base, err := snapshot.NewDocument(content)
		qt.Assert(b, err, qt.IsNil)
		content.Revision = 2
		content.Instances[50].State = snapshot.InstanceDraining
		drained, err := snapshot.NewDocument(content)
		qt.Assert(b, err, qt.IsNil)
		content.Routes[routes/2].TimeoutMillis = 2000
		changed, err := snapshot.NewDocument(content)
		qt.Assert(b, err, qt.IsNil)
		for name, row := range map[string]struct {
			base  *snapshot.Document
			delta snapshot.Delta
		}{
			"instance": {base, snapshot.Diff(base, drained)},
			"route":    {base, snapshot.Diff(base, changed)},
			"whole":    {nil, snapshot.Diff(nil, drained)},
		} {
			b.Run(fmt.Sprintf("%s/routes=%d", name, routes), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := row.delta.Apply(row.base); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
