package configuration_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// history is what a source held at each revision from 1 on.
type history struct {
	changes   []snapshot.Change // at revision index+1
	documents []*snapshot.Document
}

const instanceNames = 3

// drawHistory draws changes of instances and of one zone's evacuation, with now and then a
// change of the routes between them.
func drawHistory(t *rapid.T) history {
	var drawn history
	var held snapshot.Changes
	routes := 1
	for i := range rapid.IntRange(2, 12).Draw(t, "revisions") {
		revision := snapshot.Revision(i + 1)
		change := drawChange(t, revision)
		if rapid.IntRange(0, 3).Draw(t, "routes change") == 0 {
			routes++
		}
		drawn.changes = append(drawn.changes, change)
		held.Add([]snapshot.Change{change}, 0)
		document, err := snapshot.NewDocument(contentOf(revision, routes, &held))
		if err != nil {
			t.Fatal(err)
		}
		drawn.documents = append(drawn.documents, document)
	}
	return drawn
}

func drawChange(t *rapid.T, revision snapshot.Revision) snapshot.Change {
	name := fmt.Sprint("i-", rapid.IntRange(1, instanceNames).Draw(t, "instance"))
	switch rapid.SampledFrom([]string{"ready", "draining", "gone", "evacuated", "taken back"}).Draw(t, "change") {
	case "ready":
		return snapshot.InstanceChange(revision, instanceOf(name, snapshot.InstanceReady))
	case "draining":
		return snapshot.InstanceChange(revision, instanceOf(name, snapshot.InstanceDraining))
	case "evacuated":
		return snapshot.EvacuationChange(revision, "z", true)
	case "taken back":
		return snapshot.EvacuationChange(revision, "z", false)
	default:
		return snapshot.InstanceGone(revision, name)
	}
}

func instanceOf(name string, state snapshot.Lifecycle) snapshot.Instance {
	return snapshot.Instance{Name: name, Service: "a", Zone: "z", Address: "10.0.0." + name[2:] + ":80", State: state}
}

// contentOf is the document's content at a revision: all that the changes up to it made.
func contentOf(revision snapshot.Revision, routes int, held *snapshot.Changes) snapshot.Content {
	content := held.Apply(snapshot.Content{Services: []snapshot.Service{{Name: "a"}}})
	content.Revision = revision
	for i := range routes {
		content.Routes = append(content.Routes, snapshot.TypedRoute{
			Name: fmt.Sprint("r-", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), TimeoutMillis: 1000, MaxAttempts: 1,
			Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}},
		})
	}
	return content
}

// view is what a snapshot says of all keys.
func view(current *snapshot.Snapshot) string {
	text := fmt.Sprint("evacuated ", current.IsEvacuated("z"))
	for i := range instanceNames {
		name := fmt.Sprint("i-", i+1)
		instance, listed := current.Instance(name)
		text += fmt.Sprint("; ", name, " ", listed, " ", instance.State)
	}
	return text
}

// TestChangesAndDocumentsInAnyOrder: changes travel ahead of the documents that hold them, and
// both come late, twice and in any order. No key ever goes back to what it was at an older
// revision than one that was in force, and what comes last is what the source holds.
func TestChangesAndDocumentsInAnyOrder(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawHistory(t)
		applier := newApplier(c)
		_ = applier.Adopt(drawn.documents[0])
		known := make(map[snapshot.Key]snapshot.Revision) // the newest revision of each key that was told
		for range rapid.IntRange(1, 30).Draw(t, "arrivals") {
			at := rapid.IntRange(0, len(drawn.changes)-1).Draw(t, "revision")
			if rapid.Bool().Draw(t, "a document") {
				_ = applier.Adopt(drawn.documents[at]) // an older one is refused
			} else {
				applier.ChangeFleet(drawn.changes[at : at+1])
				key := drawn.changes[at].Key
				known[key] = max(known[key], drawn.changes[at].Revision)
			}
			checkNotOlder(t, applier.Current(), drawn, known)
		}
		applier.ChangeFleet(drawn.changes)
		last := newApplier(c)
		_ = last.Adopt(drawn.documents[len(drawn.documents)-1])
		if got, want := view(applier.Current()), view(last.Current()); got != want {
			t.Fatalf("with all changes: %s, by the last document: %s", got, want)
		}
		_ = applier.Adopt(drawn.documents[len(drawn.documents)-1])
		if got, want := view(applier.Current()), view(last.Current()); got != want {
			t.Fatalf("in the end: %s, by the last document: %s", got, want)
		}
	})
}

// checkNotOlder compares each key with the newest of what was told of it: the version in force
// and the changes.
func checkNotOlder(t *rapid.T, current *snapshot.Snapshot, drawn history, known map[snapshot.Key]snapshot.Revision) {
	newest := make(map[snapshot.Key]snapshot.Change)
	for _, change := range drawn.changes {
		if change.Revision <= max(current.Version().Revision, known[change.Key]) {
			newest[change.Key] = change
		}
	}
	for key, change := range newest {
		if key.Kind == snapshot.KindEvacuation {
			if current.IsEvacuated(key.Name) != change.Evacuated {
				t.Fatalf("%s: evacuated is not %v", key, change.Evacuated)
			}
			continue
		}
		instance, listed := current.Instance(key.Name)
		if listed != (change.Instance != nil) {
			t.Fatalf("%s at revision %d: listed is %v", key, change.Revision, listed)
		}
		drains := listed && instance.State == snapshot.InstanceDraining
		if listed && drains != (change.Instance.State == snapshot.InstanceDraining) {
			t.Fatalf("%s at revision %d is %s", key, change.Revision, instance.State)
		}
	}
}

// TestChangesSurviveARefusedDocument: a document that is refused holds newer changes too, but
// does not come into force; what was known ahead of it stays so.
func TestChangesSurviveARefusedDocument(t *testing.T) {
	c := qt.New(t)
	applier := newApplier(c)
	var held snapshot.Changes
	held.Add([]snapshot.Change{snapshot.InstanceChange(1, instanceOf("i-1", snapshot.InstanceReady))}, 0)
	first, err := snapshot.NewDocument(contentOf(1, 1, &held))
	c.Assert(err, qt.IsNil)
	c.Assert(applier.Adopt(first), qt.IsNil)
	applier.ChangeFleet([]snapshot.Change{snapshot.InstanceChange(2, instanceOf("i-1", snapshot.InstanceDraining))})
	bad := contentOf(3, 1, &held)
	bad.Routes[0].Targets[0].Service = "nowhere"
	refused, err := snapshot.NewDocument(bad)
	c.Assert(err, qt.IsNil)
	c.Assert(applier.Adopt(refused), qt.IsNotNil)
	instance, _ := applier.Current().Instance("i-1")
	c.Check(instance.State, qt.Equals, snapshot.InstanceDraining)
	c.Check(applier.Current().Version(), qt.Equals, first.Version())
}

// TestChangesDoNotWaitForACompilation: on a machine with a small part of a processor the
// compilation of thousands of routes takes long; an instance that leaves meanwhile gets no more
// requests at once, and the compiled document does not take that back.
func TestChangesDoNotWaitForACompilation(t *testing.T) {
	c := qt.New(t)
	applier := newApplier(c)
	var held snapshot.Changes
	held.Add([]snapshot.Change{snapshot.InstanceChange(1, instanceOf("i-1", snapshot.InstanceReady))}, 0)
	first, err := snapshot.NewDocument(contentOf(1, 1, &held))
	c.Assert(err, qt.IsNil)
	c.Assert(applier.Adopt(first), qt.IsNil)
	second, err := snapshot.NewDocument(contentOf(2, 2, &held))
	c.Assert(err, qt.IsNil)

	began, letGo := applier.HoldCompilations()
	adopted := make(chan error)
	go func() { adopted <- applier.Adopt(second) }()
	<-began
	applier.ChangeFleet([]snapshot.Change{snapshot.InstanceChange(3, instanceOf("i-1", snapshot.InstanceDraining))})
	instance, _ := applier.Current().Instance("i-1")
	c.Check(instance.State, qt.Equals, snapshot.InstanceDraining)
	c.Check(applier.Current().Version(), qt.Equals, first.Version())

	letGo()
	c.Assert(<-adopted, qt.IsNil)
	instance, _ = applier.Current().Instance("i-1")
	c.Check(instance.State, qt.Equals, snapshot.InstanceDraining)
	c.Check(applier.Current().Version(), qt.Equals, second.Version())
}
