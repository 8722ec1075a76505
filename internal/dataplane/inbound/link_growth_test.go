package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
)

// maxGrowth is by how much messages, bytes and state of a node may grow from 100 to 1,000 nodes.
const maxGrowth = 1.2

// TestLinkBacklogGrowth guards against messages and bytes of a node that grow with the fleet: 100 and 1,000
// nodes, a fifth of them with tiles, under the same load of an instance. It also logs how the packs spread.
func TestLinkBacklogGrowth(t *testing.T) {
	const sharedBy = 5
	messages, bytes, routes := make(map[int]float64), make(map[int]float64), make(map[int]int)
	for _, nodes := range []int{100, 1000} {
		instances := nodes / sharedBy
		fleet := newTileFleetOf(mechanism.All(), 1, instances, nodes-instances)
		fleet.end = tileWarmUp + 5*time.Second
		fleet.run(125*float64(instances)/tileInstances, 0)
		messages[nodes] = float64(fleet.sends) / float64(nodes)
		bytes[nodes] = float64(fleet.reportBytes) / float64(nodes)
		for _, node := range fleet.nodes {
			routes[nodes] = max(routes[nodes], len(node.link.sizes.routes))
		}
		t.Logf("%d nodes: %.1f requests sent a node, %.0f bytes of link reports a node (%.1f a report), %d routes sized; busiest link %.2f of the mean; in time %.3f of %d",
			nodes, messages[nodes], bytes[nodes], float64(fleet.reportBytes)/float64(fleet.reports), routes[nodes], fleet.imbalance(), fleet.share(fleet.inTime), fleet.arrived)
	}
	c := qt.New(t)
	c.Check(messages[1000] <= maxGrowth*messages[100], qt.IsTrue)
	c.Check(bytes[1000] <= maxGrowth*bytes[100], qt.IsTrue)
	c.Check(routes[1000], qt.Equals, routes[100])
}
