package configuration_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/membership"
)

// fleetWithReady returns a view of a fleet with the given number of ready instances.
func fleetWithReady(ready int) *membership.View {
	table := membership.NewTable(membership.Record{Node: "self", Incarnation: 1, Sequence: 1, State: membership.StateStarting})
	records := make([]membership.Record, ready)
	for i := range records {
		records[i] = membership.Record{
			Node: membership.NodeID(fmt.Sprint("reservas-", i)), Incarnation: 1, Sequence: 1, State: membership.StateReady,
			Zone: "centro", Service: "reservas", Slots: 20,
			PeerAddress: fmt.Sprint("127.0.0.1:", 1000+i), DataAddress: fmt.Sprint("127.0.0.1:", 2000+i),
		}
	}
	table.MergeRecords(records, time.Now())
	return table.View()
}

// TestFleetChangeTakesEffectAfterHoldTime checks that routes change only once the
// fleet has differed for the whole hold time, which restarts when it returns.
func TestFleetChangeTakesEffectAfterHoldTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		applier := newApplier(c)
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- applier.Run(ctx) }()
		defer stop()
		applier.FleetChanged(fleetWithReady(2))
		c.Assert(applier.Adopt(document(c, 1, conditionalProgram)), qt.IsNil)
		routesAfter := func(ready int, wait time.Duration) int {
			applier.FleetChanged(fleetWithReady(ready))
			time.Sleep(wait)
			synctest.Wait()
			return len(applier.Current().Routes())
		}
		holdTime := configuration.DefaultHoldTime
		c.Assert(routesAfter(2, 2*holdTime), qt.Equals, 2)
		c.Assert(routesAfter(1, holdTime-time.Millisecond), qt.Equals, 2)
		c.Assert(routesAfter(3, holdTime), qt.Equals, 2)
		c.Assert(routesAfter(1, holdTime-time.Millisecond), qt.Equals, 2)
		c.Assert(routesAfter(0, time.Millisecond), qt.Equals, 1)
		c.Assert(applier.Current().Generation(), qt.Equals, uint64(2))
		stop()
		c.Assert(<-stopped, qt.IsNil)
	})
}
