package distribution_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
)

// firstReaders returns the first node of each zone in reader rank.
func (f *freshnessFleet) firstReaders() (readers []membership.NodeID) {
	byZone := make(map[string][]membership.NodeID)
	for _, name := range f.Machines() {
		zone := f.Machine(name).Zone
		byZone[zone] = append(byZone[zone], name)
	}
	rank := func(name membership.NodeID) uint64 { return xxhash.Sum64String("reader\x00" + string(name)) }
	for _, nodes := range byZone {
		readers = append(readers, slices.MinFunc(nodes, func(a, b membership.NodeID) int { return cmp.Compare(rank(a), rank(b)) }))
	}
	return readers
}

// TestReadersAreLinkedAfterFleetStart checks that the readers of the zones have links to each
// other. While a fleet starts, most nodes act as readers and dial the real ones. A reader whose
// link is refused then, because the other one has enough links, must soon dial it again.
func TestReadersAreLinkedAfterFleetStart(t *testing.T) {
	for _, nodes := range []int{13, 80, 300} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(max(1, 4*80/nodes)) {
				f := newFreshnessFleet(nodes, seed)
				readers := f.firstReaders()
				for i, name := range readers {
					for _, other := range readers[:i] {
						c.Check(slices.Contains(f.Peers(name), other), qt.IsTrue, qt.Commentf("seed %d: %s has no link to %s", seed, name, other))
					}
				}
			}
		})
	}
}
