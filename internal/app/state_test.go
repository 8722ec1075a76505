package app

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
)

func TestPublishedState(t *testing.T) {
	rows := []struct {
		name  string
		state ownState
		want  membership.State
	}{
		{"edge without a configuration", ownState{backend: membership.StateReady}, membership.StateStarting},
		{"edge", ownState{hasConfiguration: true, backend: membership.StateReady}, membership.StateReady},
		{"back end not ready", ownState{hasConfiguration: true, backend: membership.StateStarting}, membership.StateStarting},
		{"back end draining", ownState{hasConfiguration: true, backend: membership.StateDraining}, membership.StateDraining},
		{"back end ready, no configuration", ownState{backend: membership.StateReady}, membership.StateStarting},
		{"planned stop", ownState{hasConfiguration: true, backend: membership.StateReady, stopping: true}, membership.StateDraining},
		{"planned stop before the first configuration", ownState{stopping: true}, membership.StateDraining},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			qt.New(t).Assert(row.state.published(), qt.Equals, row.want)
		})
	}
}

// recorder records the published states.
type recorder struct{ states []membership.State }

func (r *recorder) SetState(state membership.State) { r.states = append(r.states, state) }

func TestReadinessIsReachedOnceAndStopIsFinal(t *testing.T) {
	c := qt.New(t)
	published := &recorder{}
	own := newReadiness(published, true)
	own.SetState(membership.StateReady)
	select {
	case <-own.done:
		c.Fatal("ready without a configuration")
	default:
	}
	own.markConfigured()
	<-own.done
	own.stop()
	own.SetState(membership.StateReady)
	c.Assert(published.states, qt.DeepEquals, []membership.State{membership.StateStarting,
		membership.StateReady, membership.StateDraining, membership.StateDraining})
}
