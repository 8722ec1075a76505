package app

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// with is a member in another state.
func with(member membership.Member, state membership.State) membership.Member {
	member.Record.State = state
	return member
}

// TestFleetIsKnownWithABackEnd: the own record, other edges and what only the list names
// tell nothing of where requests can go, nor does a back end that takes no work.
func TestFleetIsKnownWithABackEnd(t *testing.T) {
	member := func(node, service string) membership.Member {
		return membership.Member{Record: membership.Record{
			Node: membership.NodeID(node), Service: service, DataAddress: "127.0.0.1:1", State: membership.StateReady,
		}}
	}
	for name, row := range map[string]struct {
		members []membership.Member
		want    bool
	}{
		"nobody":            {nil, false},
		"itself":            {[]membership.Member{member("self", "trips")}, false},
		"another edge":      {[]membership.Member{member("self", ""), member("edge-2", "")}, false},
		"a node beside one": {[]membership.Member{member("self", ""), member("trips-1", "trips")}, true},
		"one that leaves":   {[]membership.Member{with(member("trips-1", "trips"), membership.StateDraining)}, false},
		"one that starts":   {[]membership.Member{with(member("trips-1", "trips"), membership.StateStarting)}, false},
		"one of two":        {[]membership.Member{with(member("trips-1", "trips"), membership.StateStarting), member("trips-2", "trips")}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			applier, err := configuration.NewApplier(configuration.Options{Store: new(snapshot.Store), Logger: logging.Discard()})
			c.Assert(err, qt.IsNil)
			watch := newFleetWatch(applier, membership.Record{Node: "self"})
			watch.FleetChanged(membership.NewView(row.members))
			known := false
			select {
			case <-watch.known:
				known = true
			default:
			}
			c.Check(known, qt.Equals, row.want)
			watch.FleetChanged(membership.NewView(row.members)) // once is enough
		})
	}
}
