package distribution_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/distribution/simulation"
	"github.com/winchhead/winchhead/internal/membership"
)

// wholeListsTime is how long the link of the platform takes to send the list to all nodes of a fleet,
// as it does for a fleet of a thousand machines that lists 450 KB over 1 Gbit/s.
const wholeListsTime = 3600 * time.Millisecond

// startZones is the number of zones of a listing fleet.
const startZones = 6

// newListingFleet returns a running fleet whose platform needs wholeListsTime to send the list to all nodes.
func newListingFleet(c *qt.C, nodes int, seed uint64, wholeListsTime time.Duration) *simulation.Fleet {
	const entryBytes, pages = 450, 5
	f := simulation.New(simulation.Options{
		Seed: seed, Timing: distribution.DefaultTiming().ForCurrentSource(), ReadersPerZone: 1, SourceIsCurrent: true,
		Latency: 2 * time.Millisecond, AdoptDelay: 10 * time.Millisecond, ListsStoppedMachines: true,
		SourceLinkRate: int64(float64(nodes*nodes*entryBytes) / wholeListsTime.Seconds()),
		ListEntryBytes: entryBytes, ListPage: (nodes + pages - 1) / pages,
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
			f := newListingFleet(c, nodes, 1, row.wholeListsTime)
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
