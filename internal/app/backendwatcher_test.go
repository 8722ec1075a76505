package app

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/configuration"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// withState returns the member with another state.
func withState(member membership.Member, state membership.State) membership.Member {
	member.Record.State = state
	return member
}

// TestBackEndWatcherFindsFirstBackEnd checks that only another node whose backend
// accepts work counts as an available backend: not the node itself, other edges, or a
// backend that starts or drains.
func TestBackEndWatcherFindsFirstBackEnd(t *testing.T) {
	member := func(node, service string) membership.Member {
		return membership.Member{Record: membership.Record{
			Node: membership.NodeID(node), Service: service, DataAddress: "127.0.0.1:1", State: membership.StateReady,
		}}
	}
	for name, row := range map[string]struct {
		members []membership.Member
		want    bool
	}{
		"no members":                           {nil, false},
		"the node itself":                      {[]membership.Member{member("self", "trips")}, false},
		"another edge":                         {[]membership.Member{member("self", ""), member("edge-2", "")}, false},
		"a ready back end":                     {[]membership.Member{member("self", ""), member("trips-1", "trips")}, true},
		"a draining back end":                  {[]membership.Member{withState(member("trips-1", "trips"), membership.StateDraining)}, false},
		"a starting back end":                  {[]membership.Member{withState(member("trips-1", "trips"), membership.StateStarting)}, false},
		"one back end starting, another ready": {[]membership.Member{withState(member("trips-1", "trips"), membership.StateStarting), member("trips-2", "trips")}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			applier, err := configuration.NewApplier(configuration.Options{Store: new(snapshot.Store), Logger: logging.Discard()})
			c.Assert(err, qt.IsNil)
			watch := newBackEndWatcher(applier, membership.Record{Node: "self"})
			watch.FleetChanged(membership.NewView(row.members))
			available := false
			select {
			case <-watch.available:
				available = true
			default:
			}
			c.Check(available, qt.Equals, row.want)
			watch.FleetChanged(membership.NewView(row.members)) // closing the channel again would panic
		})
	}
}
