package outbound

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestSharesMatchWeights: over a whole round the shares match the weights exactly, wherever the
// round starts, and again once the weights change.
func TestSharesMatchWeights(t *testing.T) {
	c := qt.New(t)
	var selector targetSelector
	route := &snapshot.Route{Name: "r", Targets: []snapshot.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := func() map[string]int {
		counts := make(map[string]int)
		for range 100 {
			counts[selector.choose(route)]++
		}
		return counts
	}
	c.Check(count(), qt.DeepEquals, map[string]int{"a": 90, "b": 10})
	route.Targets = []snapshot.WeightedService{{Service: "a", Weight: 25}, {Service: "b", Weight: 75}}
	c.Check(count(), qt.DeepEquals, map[string]int{"a": 25, "b": 75})
	route.Targets = route.Targets[:1]
	c.Check(selector.choose(route), qt.Equals, "a")
}

// TestFleetSharesMatchWeights: 300 nodes with about one request each still distribute requests
// by weight: within 0.1 over 300 requests, within 0.2 over 200, even when a tenth of the nodes
// restarts and the weights change. Nodes start at random positions, so shares vary by
// chance; the limits leave room for that.
func TestFleetSharesMatchWeights(t *testing.T) {
	const (
		nodes     = 300
		windows   = 20
		restarted = nodes / 10
	)
	for _, row := range []struct {
		requests int
		most     float64
	}{{200, 0.2}, {300, 0.1}} {
		fleet := make([]targetSelector, nodes)
		for window := range windows {
			weight := []int{50, 80, 10}[window%3]
			route := &snapshot.Route{Name: "r", Targets: []snapshot.WeightedService{{Service: "a", Weight: weight}, {Service: "b", Weight: 100 - weight}}}
			for range restarted {
				fleet[rand.IntN(nodes)] = targetSelector{}
			}
			chosen := 0
			for range row.requests {
				if fleet[rand.IntN(nodes)].choose(route) == "a" {
					chosen++
				}
			}
			deviation := math.Abs(float64(chosen)/float64(row.requests) - float64(weight)/100)
			qt.Check(t, deviation <= row.most, qt.IsTrue, qt.Commentf("weight %d: %d of %d", weight, chosen, row.requests))
		}
	}
}
