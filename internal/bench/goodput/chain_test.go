package goodput

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestChainCapacity checks the capacity and the onward calls of chains whose services
// are called more than once.
func TestChainCapacity(t *testing.T) {
	plan := &deployment.Deployment{Content: snapshot.Content{Services: []snapshot.Service{{Name: "a"}, {Name: "b"}}}}
	for _, service := range []string{"a", "a", "b"} {
		plan.Nodes = append(plan.Nodes, deployment.Node{Settings: settings.Settings{Inbound: settings.Inbound{Service: service, Slots: 10}}})
	}
	for _, row := range []struct {
		depth    int
		capacity float64
		onward   []string
	}{
		{1, 20 / 0.1, nil},                                      // a is occupied for 1 unit of work
		{2, 20 / 0.2, []string{"b.bench/call"}},                 // a for 2 units, b for 1
		{3, 20 / 0.4, []string{"b.bench/call", "a.bench/call"}}, // a for 3+1 units, b for 2
	} {
		c := newChain(plan, row.depth, 100*time.Millisecond)
		qt.Check(t, c.capacity, qt.Equals, row.capacity)
		qt.Check(t, c.onward(), qt.DeepEquals, row.onward)
	}
}
