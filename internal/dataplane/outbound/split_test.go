package outbound

import (
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
