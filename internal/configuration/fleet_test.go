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

// fleet returns a view with that many ready instances.
func fleet(ready int) *membership.View {
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

func TestFleetChangeTakesEffectAfterTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		applier := newApplier(c)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- applier.Run(ctx) }()
		defer stop()
		applier.FleetChanged(fleet(2))
		c.Assert(applier.Adopt(document(c, 1, conditionalProgram)), qt.IsNil)
		routesAfter := func(ready int, wait time.Duration) int {
			applier.FleetChanged(fleet(ready))
			time.Sleep(wait)
			synctest.Wait()
			return len(applier.Current().Routes())
		}
		hold := configuration.DefaultHold
		c.Assert(routesAfter(2, 2*hold), qt.Equals, 2)
		c.Assert(routesAfter(1, hold-time.Millisecond), qt.Equals, 2)
		c.Assert(routesAfter(3, hold), qt.Equals, 2)
		c.Assert(routesAfter(1, hold-time.Millisecond), qt.Equals, 2)
		c.Assert(routesAfter(0, time.Millisecond), qt.Equals, 1)
		c.Assert(applier.Current().Generation(), qt.Equals, uint64(2))
		stop()
		c.Assert(<-ended, qt.IsNil)
	})
}
