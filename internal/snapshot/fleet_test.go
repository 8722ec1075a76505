package snapshot_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestLaterInstanceHasTheAddress: after a power failure the source may list a terminated instance
// as well as the one that took over its address, possibly for another service. Requests must not be sent
// to the terminated instance.
func TestLaterInstanceHasTheAddress(t *testing.T) {
	c := qt.New(t)
	instances := []snapshot.Instance{
		{Name: "i-late", Service: "b", Address: "10.0.0.1:80", State: snapshot.InstanceReady, Created: 9},
		{Name: "i-early", Service: "a", Address: "10.0.0.1:80", State: snapshot.InstanceReady, Created: 4},
		{Name: "i-other", Service: "a", Address: "10.0.0.2:80", State: snapshot.InstanceReady, Created: 5},
	}
	document, err := snapshot.NewDocument(snapshot.Content{Revision: 9, Instances: instances})
	c.Assert(err, qt.IsNil)
	empty, err := snapshot.New(document.Version(), nil, nil, nil)
	c.Assert(err, qt.IsNil)
	current := empty.WithFleet(document.Version(), document.Content())

	c.Check(current.Instances("a"), qt.DeepEquals, []snapshot.Instance{instances[2]})
	c.Check(current.Instances("b"), qt.DeepEquals, []snapshot.Instance{instances[0]})
	c.Check(current.OwnsAddress("i-late"), qt.IsTrue)
	c.Check(current.OwnsAddress("i-early"), qt.IsFalse)
	c.Check(current.OwnsAddress("i-unknown"), qt.IsFalse)
	_, listed := current.Instance("i-early")
	c.Check(listed, qt.IsTrue)
}
