package snapshot_test

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// drawContent draws a content with several resources of each typed kind.
func drawContent(t *rapid.T, label string) snapshot.Content {
	full := largeContent(12)
	content := snapshot.Content{Revision: snapshot.Revision(rapid.Uint64Range(1, 9).Draw(t, label)), Services: full.Services}
	for _, route := range full.Routes {
		if rapid.Bool().Draw(t, label+"/"+route.Name) {
			route.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			content.Routes = append(content.Routes, route)
		}
	}
	for _, instance := range full.Instances[:8] {
		if rapid.Bool().Draw(t, label+"/"+instance.Name) {
			instance.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
			content.Instances = append(content.Instances, instance)
		}
	}
	for _, zone := range []string{"z-1", "z-2"} {
		if rapid.Bool().Draw(t, label+" evacuates "+zone) {
			content.Evacuations = append(content.Evacuations, snapshot.Evacuation{Zone: zone})
		}
	}
	if rapid.Bool().Draw(t, label+" limits") {
		content.Limits = &snapshot.CallerLimits{MaxHeaderBytes: rapid.IntRange(1, 2).Draw(t, "limit")}
	}
	return content
}

// TestDeltasProduceTheirTarget: applying a delta gives the same document as building the target, and
// so does WithFleet for other instances and evacuations with the same routes.
func TestDeltasProduceTheirTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawContent(t, "from"), drawContent(t, "to")
		base, target := build(t, from), build(t, to)
		applied, err := snapshot.Diff(base, target).Apply(base)
		if err != nil {
			t.Fatalf("apply: %v", err)
		}
		checkSame(t, applied, target)
		from.Revision, from.Instances, from.Evacuations = to.Revision, to.Instances, to.Evacuations
		got, err := base.WithFleet(to.Revision, to.Instances, to.Evacuations)
		if err != nil {
			t.Fatalf("WithFleet: %v", err)
		}
		checkSame(t, got, build(t, from))
		if !snapshot.SameRouting(base, got) {
			t.Fatalf("other instances and evacuations changed the routing")
		}
	})
}

func build(t *rapid.T, content snapshot.Content) *snapshot.Document {
	document, err := snapshot.NewDocument(content)
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	return document
}

// normalized removes the difference between empty and nil lists.
func normalized(document *snapshot.Document) snapshot.Content {
	content := document.Content()
	if len(content.Routes) == 0 {
		content.Routes = nil
	}
	if len(content.Instances) == 0 {
		content.Instances = nil
	}
	content.Policies, content.Secrets = nil, nil
	return content
}

func checkSame(t *rapid.T, got, want *snapshot.Document) {
	if got.Version() != want.Version() || !reflect.DeepEqual(got.Resources(), want.Resources()) {
		t.Fatalf("got %v with %v, want %v with %v", got, got.Resources(), want, want.Resources())
	}
	if !reflect.DeepEqual(normalized(got), normalized(want)) {
		t.Fatalf("got %+v, want %+v", normalized(got), normalized(want))
	}
}
