package configuration_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// history lists the changes and documents of a source, one of each per revision
// from 1 on.
type history struct {
	changes   []snapshot.Change // the change at index i has revision i+1
	documents []*snapshot.Document
}

const instanceCount = 3

// drawHistory draws changes to instances and to the evacuation of one zone; some revisions also
// change the routes.
func drawHistory(t *rapid.T) history {
	var drawn history
	var accumulated snapshot.Changes
	routes := 1
	for i := range rapid.IntRange(2, 12).Draw(t, "revisions") {
		revision := snapshot.Revision(i + 1)
		change := drawChange(t, revision)
		if rapid.IntRange(0, 3).Draw(t, "routes change") == 0 {
			routes++
		}
		drawn.changes = append(drawn.changes, change)
		accumulated.Add([]snapshot.Change{change}, 0)
		document, err := snapshot.NewDocument(contentOf(revision, routes, &accumulated))
		if err != nil {
			t.Fatal(err)
		}
		drawn.documents = append(drawn.documents, document)
	}
	return drawn
}

func drawChange(t *rapid.T, revision snapshot.Revision) snapshot.Change {
	name := fmt.Sprint("i-", rapid.IntRange(1, instanceCount).Draw(t, "instance"))
	switch rapid.SampledFrom([]string{"ready", "draining", "gone", "evacuated", "evacuation ended"}).Draw(t, "change") {
	case "ready":
		return snapshot.InstanceChange(revision, instanceOf(name, snapshot.InstanceReady))
	case "draining":
		return snapshot.InstanceChange(revision, instanceOf(name, snapshot.InstanceDraining))
	case "evacuated":
		return snapshot.EvacuationChange(revision, "z", true)
	case "evacuation ended":
		return snapshot.EvacuationChange(revision, "z", false)
	default:
		return snapshot.InstanceRemoval(revision, name)
	}
}

func instanceOf(name string, state snapshot.Lifecycle) snapshot.Instance {
	return snapshot.Instance{Name: name, Service: "a", Zone: "z", Address: "10.0.0." + name[2:] + ":80", State: state}
}

// contentOf returns the content of a document at a revision: the result of all changes up to it,
// with the given number of routes.
func contentOf(revision snapshot.Revision, routes int, accumulated *snapshot.Changes) snapshot.Content {
	content := accumulated.Apply(snapshot.Content{Services: []snapshot.Service{{Name: "a"}}})
	content.Revision = revision
	for i := range routes {
		content.Routes = append(content.Routes, snapshot.TypedRoute{
			Name: fmt.Sprint("r-", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), TimeoutMillis: 1000, MaxAttempts: 1,
			Targets: []snapshot.WeightedService{{Service: "a", Weight: 1}},
		})
	}
	return content
}

// describe formats the state of all keys in a snapshot.
func describe(current *snapshot.Snapshot) string {
	text := fmt.Sprint("evacuated ", current.IsEvacuated("z"))
	for i := range instanceCount {
		name := fmt.Sprint("i-", i+1)
		instance, listed := current.Instance(name)
		text += fmt.Sprint("; ", name, " ", listed, " ", instance.State)
	}
	return text
}

// TestChangesAndDocumentsInAnyOrder delivers changes and the documents that contain them late,
// repeatedly and in any order. No key may return to its state at an older revision than one that
// was applied, and the final state must equal that of the source.
func TestChangesAndDocumentsInAnyOrder(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawHistory(t)
		applier := newApplier(c)
		_ = applier.Adopt(drawn.documents[0])
		known := make(map[snapshot.Key]snapshot.Revision) // the newest revision delivered of each key
		for range rapid.IntRange(1, 30).Draw(t, "arrivals") {
			at := rapid.IntRange(0, len(drawn.changes)-1).Draw(t, "revision")
			if rapid.Bool().Draw(t, "is a document") {
				_ = applier.Adopt(drawn.documents[at]) // an older one is refused
			} else {
				applier.ApplyFleetChanges(drawn.changes[at : at+1])
				key := drawn.changes[at].Key
				known[key] = max(known[key], drawn.changes[at].Revision)
			}
			checkNotOlder(t, applier.Current(), drawn, known)
		}
		applier.ApplyFleetChanges(drawn.changes)
		last := newApplier(c)
		_ = last.Adopt(drawn.documents[len(drawn.documents)-1])
		if got, want := describe(applier.Current()), describe(last.Current()); got != want {
			t.Fatalf("state after all changes is %q, state of the last document is %q", got, want)
		}
		_ = applier.Adopt(drawn.documents[len(drawn.documents)-1])
		if got, want := describe(applier.Current()), describe(last.Current()); got != want {
			t.Fatalf("final state is %q, state of the last document is %q", got, want)
		}
	})
}

// checkNotOlder compares the state of each key with the newest change to it that was delivered,
// either by itself or in the document in force.
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
		draining := listed && instance.State == snapshot.InstanceDraining
		if listed && draining != (change.Instance.State == snapshot.InstanceDraining) {
			t.Fatalf("%s at revision %d is %s", key, change.Revision, instance.State)
		}
	}
}

// TestChangesSurviveRefusedDocument checks that changes applied ahead of a document stay in force
// when a later document, which contains other changes, is refused.
func TestChangesSurviveRefusedDocument(t *testing.T) {
	c := qt.New(t)
	applier := newApplier(c)
	var held snapshot.Changes
	held.Add([]snapshot.Change{snapshot.InstanceChange(1, instanceOf("i-1", snapshot.InstanceReady))}, 0)
	first, err := snapshot.NewDocument(contentOf(1, 1, &held))
	c.Assert(err, qt.IsNil)
	c.Assert(applier.Adopt(first), qt.IsNil)
	applier.ApplyFleetChanges([]snapshot.Change{snapshot.InstanceChange(2, instanceOf("i-1", snapshot.InstanceDraining))})
	invalid := contentOf(3, 1, &held)
	invalid.Routes[0].Targets[0].Service = "nowhere"
	refused, err := snapshot.NewDocument(invalid)
	c.Assert(err, qt.IsNil)
	c.Assert(applier.Adopt(refused), qt.IsNotNil)
	instance, _ := applier.Current().Instance("i-1")
	c.Check(instance.State, qt.Equals, snapshot.InstanceDraining)
	c.Check(applier.Current().Version(), qt.Equals, first.Version())
}

// TestChangesDoNotWaitForCompilation: with a fraction of a CPU, compiling thousands of routes takes
// long. An instance that starts to drain meanwhile must stop getting requests at once, and the
// compiled document must not undo that.
func TestChangesDoNotWaitForCompilation(t *testing.T) {
	c := qt.New(t)
	applier := newApplier(c)
	var held snapshot.Changes
	held.Add([]snapshot.Change{snapshot.InstanceChange(1, instanceOf("i-1", snapshot.InstanceReady))}, 0)
	first, err := snapshot.NewDocument(contentOf(1, 1, &held))
	c.Assert(err, qt.IsNil)
	c.Assert(applier.Adopt(first), qt.IsNil)
	second, err := snapshot.NewDocument(contentOf(2, 2, &held))
	c.Assert(err, qt.IsNil)

	started, release := applier.BlockCompilations()
	adopted := make(chan error)
	go func() { adopted <- applier.Adopt(second) }()
	<-started
	applier.ApplyFleetChanges([]snapshot.Change{snapshot.InstanceChange(3, instanceOf("i-1", snapshot.InstanceDraining))})
	instance, _ := applier.Current().Instance("i-1")
	c.Check(instance.State, qt.Equals, snapshot.InstanceDraining)
	c.Check(applier.Current().Version(), qt.Equals, first.Version())

	release()
	c.Assert(<-adopted, qt.IsNil)
	instance, _ = applier.Current().Instance("i-1")
	c.Check(instance.State, qt.Equals, snapshot.InstanceDraining)
	c.Check(applier.Current().Version(), qt.Equals, second.Version())
}
