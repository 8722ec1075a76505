package outbound

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestSharesMeetTheWeights exactly over a whole round, wherever it begins, and
// anew once the weights change.
func TestSharesMeetTheWeights(t *testing.T) {
	c := qt.New(t)
	var dealt splits
	route := &snapshot.Route{Name: "r", Targets: []snapshot.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := func() map[string]int {
		counts := make(map[string]int)
		for range 100 {
			counts[dealt.choose(route)]++
		}
		return counts
	}
	c.Check(count(), qt.DeepEquals, map[string]int{"a": 90, "b": 10})
	route.Targets = []snapshot.WeightedService{{Service: "a", Weight: 25}, {Service: "b", Weight: 75}}
	c.Check(count(), qt.DeepEquals, map[string]int{"a": 25, "b": 75})
	route.Targets = route.Targets[:1]
	c.Check(dealt.choose(route), qt.Equals, "a")
}

// TestSharesOfAFleet: 300 nodes that see about a request each still share requests by
// weight: within 0.1 over 300 requests, within 0.2 over 200, also when a tenth of the
// nodes starts again and when the weights change. Nodes begin at random places, so that
// shares differ by chance: of 36,000 windows of 200 and 400 requests, counted once, none
// was off by more than 0.11, none of 400 by more than 0.063.
func TestSharesOfAFleet(t *testing.T) {
	const (
		nodes     = 300
		windows   = 20
		restarted = nodes / 10
	)
	for _, row := range []struct {
		requests int
		most     float64
	}{{200, 0.2}, {300, 0.1}} {
		fleet := make([]splits, nodes)
		for window := range windows {
			weight := []int{50, 80, 10}[window%3]
			route := &snapshot.Route{Name: "r", Targets: []snapshot.WeightedService{{Service: "a", Weight: weight}, {Service: "b", Weight: 100 - weight}}}
			for range restarted {
				fleet[rand.IntN(nodes)] = splits{}
			}
			chosen := 0
			for range row.requests {
				if fleet[rand.IntN(nodes)].choose(route) == "a" {
					chosen++
				}
			}
			off := math.Abs(float64(chosen)/float64(row.requests) - float64(weight)/100)
			qt.Check(t, off <= row.most, qt.IsTrue, qt.Commentf("weight %d: %d of %d", weight, chosen, row.requests))
		}
	}
}
