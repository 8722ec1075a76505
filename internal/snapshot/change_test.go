package snapshot

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func testInstance(name string, state Lifecycle) Instance {
	return Instance{Name: name, Service: "a", Zone: "z", Address: "10.0.0.1:80", State: state}
}

func TestChangeRoundTrip(t *testing.T) {
	for name, change := range map[string]Change{
		"listed":           InstanceChange(7, testInstance("i-1", InstanceDraining)),
		"gone":             InstanceRemoval(8, "i-1"),
		"evacuated":        EvacuationChange(9, "z", true),
		"evacuation ended": EvacuationChange(10, "z", false),
	} {
		t.Run(name, func(t *testing.T) {
			resource, err := change.Resource()
			qt.Assert(t, err, qt.IsNil)
			again, err := DecodeChange(change.Revision, resource)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, again, qt.DeepEquals, change)
		})
	}
}

// TestInvalidChanges: changes from peers are validated like the resources of a document.
func TestInvalidChanges(t *testing.T) {
	listed, err := InstanceChange(7, testInstance("i-1", InstanceReady)).Resource()
	qt.Assert(t, err, qt.IsNil)
	for name, row := range map[string]struct {
		revision Revision
		resource Resource
	}{
		"no revision":        {0, listed},
		"wrong kind":         {7, Resource{Key: Key{Kind: KindRoute, Name: "r"}}},
		"no name":            {7, Resource{Key: Key{Kind: KindInstance}}},
		"another name":       {7, Resource{Key: Key{Kind: KindInstance, Name: "i-2"}, Body: listed.Body}},
		"not JSON":           {7, Resource{Key: listed.Key, Body: []byte("x")}},
		"not canonical":      {7, Resource{Key: listed.Key, Body: append([]byte(" "), listed.Body...)}},
		"body of other kind": {7, Resource{Key: Key{Kind: KindEvacuation, Name: "i-1"}, Body: listed.Body}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeChange(row.revision, row.resource)
			qt.Check(t, err, qt.IsNotNil)
		})
	}
}

// TestChangesAheadOfDocument: the newest state of each key wins, whether it is in the document or in
// a change, and instances of services that the document does not name are left out.
func TestChangesAheadOfDocument(t *testing.T) {
	content := Content{
		Revision: 10, Services: []Service{{Name: "a"}},
		Instances:   []Instance{testInstance("i-1", InstanceReady), testInstance("i-2", InstanceReady), testInstance("i-3", InstanceReady)},
		Evacuations: []Evacuation{{Zone: "y"}},
	}
	foreign := testInstance("i-5", InstanceReady)
	foreign.Service = "b"
	var changes Changes
	added := changes.Add([]Change{
		InstanceChange(12, testInstance("i-1", InstanceDraining)),
		InstanceChange(11, testInstance("i-1", InstanceReady)), // arrives late
		InstanceRemoval(11, "i-2"),
		InstanceRemoval(10, "i-3"), // already included in the document
		InstanceChange(13, testInstance("i-4", InstanceReady)),
		InstanceChange(13, foreign),
		EvacuationChange(11, "y", false),
		EvacuationChange(12, "z", true),
	}, content.Revision)
	qt.Check(t, added, qt.HasLen, 6)
	applied := changes.Apply(content)
	qt.Check(t, applied.Instances, qt.DeepEquals, []Instance{
		testInstance("i-1", InstanceDraining), testInstance("i-3", InstanceReady), testInstance("i-4", InstanceReady),
	})
	qt.Check(t, applied.Evacuations, qt.DeepEquals, []Evacuation{{Zone: "z"}})
	qt.Check(t, content.Instances, qt.HasLen, 3)
	qt.Check(t, changes.removedAfter(content.Revision), qt.DeepEquals, map[string]Revision{"i-2": 11})

	changes.DropThrough(12)
	qt.Check(t, changes.Len(), qt.Equals, 2)
	changes.DropThrough(13)
	content.Revision = 13
	qt.Check(t, changes.Apply(content).Instances, qt.DeepEquals, content.Instances)
}
