package goodput

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

func TestCapacityOfChains(t *testing.T) {
	plan := &deployment.Deployment{Content: snapshot.Content{Services: []snapshot.Service{{Name: "a"}, {Name: "b"}}}}
	for _, service := range []string{"a", "a", "b"} {
		plan.Nodes = append(plan.Nodes, deployment.Node{Settings: settings.Settings{Inbound: settings.Inbound{Service: service, Slots: 10}}})
	}
	for _, row := range []struct {
		depth    int
		capacity float64
		onward   []string
	}{
		{1, 20 / 0.1, nil},                                      // a holds 1 unit of work
		{2, 20 / 0.2, []string{"b.bench/call"}},                 // a holds 2, b 1
		{3, 20 / 0.4, []string{"b.bench/call", "a.bench/call"}}, // a holds 3+1, b 2
	} {
		built := newChain(plan, row.depth, 100*time.Millisecond)
		qt.Check(t, built.capacity, qt.Equals, row.capacity)
		qt.Check(t, built.onward(), qt.DeepEquals, row.onward)
	}
}
