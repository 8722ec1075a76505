package balance

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
)

// maxLinkBytes bounds what a sender keeps about the link and the momentary slowdown of an instance, without the
// large bodies in progress.
const maxLinkBytes = 192

// TestLinkStateOfInstances guards against state for each node beyond that for each instance that a sender
// chooses from: 100 and 1,000 nodes know the same 20 instances.
func TestLinkStateOfInstances(t *testing.T) {
	const instances = 20
	c := qt.New(t)
	size := unsafe.Sizeof(linkState{}) + unsafe.Sizeof(momentarySlowdown{})
	t.Logf("%d bytes an instance", size)
	c.Check(size <= maxLinkBytes, qt.IsTrue)
	for _, nodes := range []int{100, 1000} {
		fixture := newLinkFixture(mechanism.All())
		names := make([]string, instances)
		for i := range names {
			names[i] = fmt.Sprint("i-", i)
		}
		for range nodes { // a report comes with each answer, whichever node made the instance busy
			fixture.now = fixture.now.Add(time.Millisecond)
			choice := fixture.pick(c, "large", names...)
			choice.Done(Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Link: hop.Link{Backlog: time.Second, Rate: 1000}}, largeBytes, fixture.now)
		}
		c.Check(fixture.instances, qt.HasLen, instances)
		for _, known := range fixture.instances {
			c.Check(known.link.largeBodies, qt.HasLen, 0)
		}
	}
}
