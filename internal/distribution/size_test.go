package distribution_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// newLargeFleet returns a fleet of the given size in eight zones that holds revision 1.
func newLargeFleet(c *qt.C, size int, listDelay time.Duration) *simulation.Fleet {
	const largeZones = 8
	f := simulation.New(simulation.Options{
		Seed: 1, Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond, ListDelay: listDelay,
	})
	f.Platform.Publish(document(1), "")
	for i := range size {
		zone := i % largeZones
		name := membership.NodeID(fmt.Sprintf("node-%03d", i))
		f.Start(simulation.Machine{Name: name, Zone: fmt.Sprint("zone-", zone), Region: fmt.Sprint("region-", zone/4)}, nil)
	}
	c.Assert(f.RunUntil(10*time.Second, func() bool { return f.AllHold(document(1).Version()) }), qt.IsTrue)
	return f
}

// TestRestartsAddFewReaders restarts a tenth of the fleet each second while the source
// is down. Each restarted reader may be replaced by another node.
func TestRestartsAddFewReaders(t *testing.T) {
	const (
		size       = 120
		maxReaders = 40
		window     = 5 * time.Second
	)
	c := qt.New(t)
	f := newLargeFleet(c, size, 0)
	f.Run(5 * time.Second)
	f.Platform.SetDown(true)
	for round := range 20 {
		for i := range size / 10 {
			name := f.Machines()[(round*size/10+i)%size]
			f.Kill(name)
			f.Restart(name)
		}
		f.Run(time.Second)
		asked := f.Platform.RecentPollers(window)
		c.Assert(asked <= maxReaders, qt.IsTrue, qt.Commentf("round %d: %d nodes read the source", round, asked))
	}
}

// TestChangeReachesNodeWithPausedPeers: a node all of whose peers are paused must link to
// others before its links are considered dead.
func TestChangeReachesNodeWithPausedPeers(t *testing.T) {
	const inForce = 11 * time.Second
	c := qt.New(t)
	f := newLargeFleet(c, 80, 0)
	f.Run(15 * time.Second)
	for _, name := range f.Machines()[:8] {
		for _, peer := range f.Peers(name) {
			f.Pause(peer, 30*time.Second)
		}
		f.Platform.Publish(document(1+f.Platform.Current().Revision), "")
		c.Check(f.RunUntil(inForce, func() bool {
			held, _ := f.Held(name)
			return held == f.Platform.Current()
		}), qt.IsTrue, qt.Commentf("%s", name))
		f.Run(40 * time.Second)
	}
	c.Assert(f.AllHold(f.Platform.Current()), qt.IsTrue)
	c.Assert(f.Violations(), qt.HasLen, 0)
}

// TestRestartedNodeIsFoundWithoutTheList: a restarted node cannot find the others while
// the platform is down, so they must dial the suspected node.
func TestRestartedNodeIsFoundWithoutTheList(t *testing.T) {
	c := qt.New(t)
	f := newLargeFleet(c, 120, 0)
	f.Run(5 * time.Second)
	f.Platform.SetDown(true)
	f.Kill("node-000")
	f.Run(5 * time.Second)
	f.Restart("node-000")
	c.Assert(f.RunUntil(20*time.Second, func() bool { return f.AllHold(document(1).Version()) }), qt.IsTrue)
}

// TestRestartedHalfIsFoundWithoutTheList kills half of the fleet, including all
// neighbours of some nodes, so that no remaining node had a link to these.
func TestRestartedHalfIsFoundWithoutTheList(t *testing.T) {
	c := qt.New(t)
	f := newLargeFleet(c, 240, 0)
	f.Run(5 * time.Second)
	f.Platform.SetDown(true)
	machines := f.Machines()
	half := machines[:len(machines)/2]
	for _, name := range half {
		f.Kill(name)
	}
	for _, name := range half {
		f.Restart(name)
	}
	c.Assert(f.RunUntil(20*time.Second, func() bool { return f.AllHold(document(1).Version()) }), qt.IsTrue)
}

func TestNumberOfReadersIsBounded(t *testing.T) {
	const maxReaders = 32 // the whole reader group of each zone
	c := qt.New(t)
	f := newLargeFleet(c, 160, 3*time.Second)
	converged := func() bool { return f.AllHold(document(1).Version()) }
	f.Platform.SetDown(true)
	f.Run(time.Minute)
	f.Platform.SetDown(false)
	for _, name := range f.Machines() {
		f.Kill(name)
	}
	for _, name := range f.Machines() {
		f.Restart(name)
	}
	c.Assert(f.RunUntil(10*time.Second, converged), qt.IsTrue)
	f.Run(time.Minute)
	c.Assert(f.Platform.MaxReaders() <= maxReaders, qt.IsTrue, qt.Commentf("%d readers", f.Platform.MaxReaders()))
	readers := 0
	for _, name := range f.Machines() {
		if f.Engine(name).Status().Reader {
			readers++
		}
	}
	c.Assert(readers, qt.Equals, 16) // two in each zone
	c.Assert(f.Violations(), qt.HasLen, 0)
}

func TestControlBytesStayWithinBudget(t *testing.T) {
	const (
		size        = 160
		idleSeconds = 60
		idleBudget  = 100 // bytes per node and second, with the overhead of TLS
		tlsBytes    = 22  // overhead of one TLS 1.3 record around a frame
		changeRatio = 3   // bytes per node for a change, relative to the size of its delta
	)
	c := qt.New(t)
	f := newLargeFleet(c, size, 0)
	f.Run(30 * time.Second)
	framesBefore, bytesBefore := f.Sent()
	f.Run(idleSeconds * time.Second)
	frames, bytes := f.Sent()
	idle := (bytes - bytesBefore + tlsBytes*(frames-framesBefore)) / size / idleSeconds
	c.Assert(idle <= idleBudget, qt.IsTrue, qt.Commentf("%d bytes per node and second", idle))

	f.Platform.Publish(document(2), "")
	c.Assert(f.RunUntil(time.Second, func() bool { return f.AllHold(document(2).Version()) }), qt.IsTrue)
	f.Run(200 * time.Millisecond) // late announcements
	_, after := f.Sent()
	delta := len(encoded(wire.NewUpdate(snapshot.Diff(document(1), document(2)), true)).Frame)
	change := int(after-bytes) / size
	c.Assert(change <= changeRatio*delta, qt.IsTrue, qt.Commentf("%d bytes per node for a delta of %d bytes", change, delta))
}

// TestFewLinksBetweenZones: the number of links between zones does not grow with the
// number of nodes in a zone, as only the gateways of a zone keep links to other zones,
// and the first four readers of the fleet keep links to each other.
func TestFewLinksBetweenZones(t *testing.T) {
	const (
		zones    = 8
		gateways = 4
		links    = 2 // per gateway: one to another zone, one to another region
		leaders  = 4 // readers that are linked to each other
	)
	c := qt.New(t)
	f := newLargeFleet(c, 160, 0)
	f.Run(time.Minute)
	across := 0
	for i, name := range f.Machines() {
		for _, peer := range f.Peers(name) {
			other := 0
			_, err := fmt.Sscanf(string(peer), "node-%d", &other)
			c.Assert(err, qt.IsNil)
			if i%zones != other%zones {
				across++
			}
		}
	}
	across /= 2 // each link has two ends
	c.Check(across > 0 && across <= zones*gateways*links+leaders*(leaders-1)/2, qt.IsTrue, qt.Commentf("%d links between zones", across))
}
