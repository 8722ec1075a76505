package snapshot_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestEvacuatedInstancesTakeNoWork: a snapshot marks the ready instances of an evacuated zone as
// evacuated and keeps the state of the others. The document keeps the listed states.
func TestEvacuatedInstancesTakeNoWork(t *testing.T) {
	c := qt.New(t)
	document, err := snapshot.NewDocument(snapshot.Content{
		Revision: 9,
		Instances: []snapshot.Instance{
			{Name: "i-1", Service: "a", Zone: "y", Address: "10.0.0.1:80", State: snapshot.InstanceReady},
			{Name: "i-2", Service: "a", Zone: "z", Address: "10.0.0.2:80", State: snapshot.InstanceReady},
			{Name: "i-3", Service: "a", Zone: "y", Address: "10.0.0.3:80", State: snapshot.InstanceDraining},
		},
		Evacuations: []snapshot.Evacuation{{Zone: "y"}},
	})
	c.Assert(err, qt.IsNil)
	empty, err := snapshot.New(document.Version(), nil, nil, nil)
	c.Assert(err, qt.IsNil)
	current := empty.WithFleet(document.Version(), document.Content())

	states := map[string]snapshot.Lifecycle{}
	for _, instance := range current.Instances("a") {
		states[instance.Name] = instance.State
	}
	c.Check(states, qt.DeepEquals, map[string]snapshot.Lifecycle{
		"i-1": snapshot.InstanceEvacuated, "i-2": snapshot.InstanceReady, "i-3": snapshot.InstanceDraining,
	})
	c.Check(current.IsEvacuated("y"), qt.IsTrue)
	c.Check(current.IsEvacuated("z"), qt.IsFalse)
	c.Check(document.Content().Instances[0].State, qt.Equals, snapshot.InstanceReady)
	takenBack, err := document.WithFleet(10, document.Content().Instances, nil)
	c.Assert(err, qt.IsNil)
	c.Check(current.WithFleet(takenBack.Version(), takenBack.Content()).Instances("a")[0].State, qt.Equals, snapshot.InstanceReady)
}

// TestEvacuationIsChecked: an evacuation with an invalid zone name makes the document invalid. Any text may
// name a zone, as instances name theirs: an evacuation that is refused for its spelling is never carried out.
func TestEvacuationIsChecked(t *testing.T) {
	for zone, valid := range map[string]bool{
		"": false, "\xff": false, strings.Repeat("z", snapshot.MaxTypedNameBytes+1): false,
		"a/b": true, "-z": true, "zona añil 1": true,
	} {
		_, err := snapshot.NewDocument(snapshot.Content{Revision: 1, Evacuations: []snapshot.Evacuation{{Zone: zone}}})
		qt.Check(t, err == nil, qt.Equals, valid, qt.Commentf("%.20q", zone))
	}
}
