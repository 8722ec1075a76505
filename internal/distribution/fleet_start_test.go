package distribution_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// wholeListsTime is how long the link of the platform takes to send the list to all nodes of a fleet,
// as it does for a fleet of a thousand machines that lists 450 KB over 1 Gbit/s.
const wholeListsTime = 3600 * time.Millisecond

// startZones is the number of zones of a listing fleet.
const startZones = 6

// newListingFleet returns a running fleet whose platform sends pages of the list, and needs wholeListsTime to
// send the list to all nodes.
func newListingFleet(c *qt.C, nodes, page int, wholeListsTime time.Duration) *simulation.Fleet {
	const entryBytes, seed = 450, 1
	f := simulation.New(simulation.Options{
		Seed: seed, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
		Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond, ListsStoppedMachines: true,
		SourceLinkRate: int64(float64(nodes*nodes*entryBytes) / wholeListsTime.Seconds()),
		ListEntryBytes: entryBytes, ListPage: page,
	})
	f.Platform.Publish(document(1), "")
	for i := range nodes {
		f.Start(simulation.Machine{
			Name: membership.NodeID(fmt.Sprintf("node-%04d", i)), Zone: fmt.Sprintf("zone-%d", i%startZones), Region: "region",
		}, nil)
	}
	c.Assert(f.RunUntil(time.Minute, func() bool { return f.AllHold(document(1).Version()) }), qt.IsTrue)
	f.Run(5 * time.Second)
	return f
}

// holding returns the share of the machines that hold a version.
func holding(f *simulation.Fleet) float64 {
	count := 0
	for _, name := range f.Machines() {
		if held, alive := f.Held(name); alive && !held.IsZero() {
			count++
		}
	}
	return float64(count) / float64(len(f.Machines()))
}

// TestWholeFleetReturns guards against a fleet that does not come back after all of it was killed:
// each node lists the store, the lists together need the store's link for longer than a node waits for
// one, and all of them start again and again.
func TestWholeFleetReturns(t *testing.T) {
	const pages = 5 // of the list
	for name, row := range map[string]struct {
		nodes          int
		wholeListsTime time.Duration
		within         time.Duration
	}{
		"80 nodes":                              {80, wholeListsTime, time.Second},
		"300 nodes":                             {300, wholeListsTime, time.Second},
		"300 nodes, the lists of twice as many": {300, 2 * wholeListsTime, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			nodes := row.nodes
			f := newListingFleet(c, nodes, (nodes+pages-1)/pages, row.wholeListsTime)
			pages, wholeReads := f.Platform.Pages(), f.Platform.Fetches()
			for _, name := range f.Machines() {
				f.Kill(name)
			}
			f.Run(1300 * time.Millisecond)
			for _, name := range f.Machines() {
				f.Restart(name)
			}
			returned := f.RunUntil(row.within, func() bool { return holding(f) >= 0.99 })
			c.Check(returned, qt.IsTrue, qt.Commentf("%.2f of the nodes hold a version", holding(f)))
			f.Run(10 * time.Second)
			c.Check(holding(f), qt.Equals, 1.0)
			c.Check(f.Violations(), qt.HasLen, 0)
			// What a starting fleet reads whole grows with its zones, not with its nodes.
			c.Check(f.Platform.Fetches()-wholeReads <= 2*startZones, qt.IsTrue, qt.Commentf("%d whole reads", f.Platform.Fetches()-wholeReads))
			// A node that others have contacted reads nothing of the list.
			c.Check(f.Platform.Pages()-pages <= nodes, qt.IsTrue)
			c.Logf("%d pages, %.1f a node", f.Platform.Pages()-pages, float64(f.Platform.Pages()-pages)/float64(nodes))
		})
	}
}

// wholeFleets adds a fleet of a thousand nodes to TestStartGrowth, which takes minutes.
var wholeFleets = flag.Bool("whole-fleets", false, "measure the start of a fleet of a thousand nodes too")

// startCost is what a start of all nodes costs.
type startCost struct {
	// pages is the number of pages of the list that were read, wholeReads that of reads of the whole store.
	pages, wholeReads int
	// bytes is what all nodes sent to each other, betweenZones the part that went to other zones.
	bytes, betweenZones int64
}

// costOfStart kills all nodes of a fleet and starts them again. The platform's link and its pages are the
// same for all sizes.
func costOfStart(c *qt.C, nodes int) startCost {
	const page, largest = 200, 1000
	size := float64(nodes) / largest
	f := newListingFleet(c, nodes, page, time.Duration(size*size*float64(wholeListsTime)))
	for _, name := range f.Machines() {
		f.Kill(name)
	}
	f.Run(1300 * time.Millisecond)
	before := costSoFar(f)
	for _, name := range f.Machines() {
		f.Restart(name)
	}
	f.Run(5 * time.Second)
	c.Check(holding(f), qt.Equals, 1.0)
	after := costSoFar(f)
	cost := startCost{
		pages: after.pages - before.pages, wholeReads: after.wholeReads - before.wholeReads,
		bytes: after.bytes - before.bytes, betweenZones: after.betweenZones - before.betweenZones,
	}
	c.Logf("%d nodes: %+v", nodes, cost)
	return cost
}

// costSoFar returns what a fleet has cost since it was made.
func costSoFar(f *simulation.Fleet) startCost {
	_, bytes := f.Sent()
	return startCost{pages: f.Platform.Pages(), wholeReads: f.Platform.Fetches(), bytes: bytes, betweenZones: f.SentBetweenZones()}
}

// sizesOfFleets are the numbers of nodes at which the growth of costs is measured.
func sizesOfFleets() []int {
	if *wholeFleets {
		return []int{100, 300, 1000}
	}
	return []int{100, 300}
}

// TestStartGrowth guards against a start whose cost at a node grows faster than the fleet. Each node has to
// receive the list, so bytes at a node grow with it; what is read whole stays with the zones.
func TestStartGrowth(t *testing.T) {
	c := qt.New(t)
	sizes := sizesOfFleets()
	first := costOfStart(c, sizes[0])
	for _, nodes := range sizes[1:] {
		cost, larger := costOfStart(c, nodes), int64(nodes/sizes[0])
		c.Check(cost.wholeReads <= 2*startZones, qt.IsTrue)
		c.Check(cost.pages <= nodes, qt.IsTrue)
		c.Check(cost.bytes <= larger*larger*first.bytes, qt.IsTrue)
	}
}

// TestStartReadsGrowWithZones guards against calls to the platform at a start that grow with the machines:
// beyond the whole reads of each zone, a node should find peers without the platform.
func TestStartReadsGrowWithZones(t *testing.T) {
	const tolerance = 1.2
	c := qt.New(t)
	sizes := sizesOfFleets()
	first := costOfStart(c, sizes[0])
	for _, nodes := range sizes[1:] {
		pages := costOfStart(c, nodes).pages
		c.Check(float64(pages) <= tolerance*float64(first.pages), qt.IsTrue, qt.Commentf("%d pages, %d at %d nodes", pages, first.pages, sizes[0]))
	}
}

// TestStartBytesBetweenZones guards against a start in which what all nodes need passes to each zone many
// times: each zone should get the members at most twice.
func TestStartBytesBetweenZones(t *testing.T) {
	c := qt.New(t)
	for _, nodes := range sizesOfFleets() {
		allowed := int64(2 * startZones * encodedMembers(c, nodes))
		betweenZones := costOfStart(c, nodes).betweenZones
		c.Check(betweenZones <= allowed, qt.IsTrue, qt.Commentf("%d bytes at %d nodes, at most %d allowed", betweenZones, nodes, allowed))
	}
}

// encodedMembers returns how many bytes the records and the list of a fleet take in one message.
func encodedMembers(c *qt.C, nodes int) int {
	members := &wire.Records{}
	for i := range nodes {
		name := membership.NodeID(fmt.Sprintf("node-%04d", i))
		zone := fmt.Sprintf("zone-%d", i%startZones)
		members.Records = append(members.Records, membership.Record{
			Node: name, Incarnation: 1_700_000_000_000 + membership.Incarnation(i), State: membership.StateReady,
			Region: "region", Zone: zone, PeerAddress: string(name),
		})
		members.Listed = append(members.Listed, wire.ListedEntry{Node: name, Order: int64(i), Members: []membership.ListedMember{
			{Node: name, PeerAddress: string(name), Region: "region", Zone: zone},
		}})
	}
	frame, err := wire.Encode(members)
	c.Assert(err, qt.IsNil)
	return len(frame)
}
