package app

import (
	"sync"

	"github.com/winchhead/winchhead/internal/membership"
)

// ownState decides what the node says about itself.
type ownState struct {
	// holdsVersion is set once a configuration is in force.
	holdsVersion bool
	// backend is the state of the back end beside the node; StateReady for a node
	// without one.
	backend membership.State
	// stopping is set by a planned stop and stays.
	stopping bool
}

// published returns the state that other nodes are told.
func (s ownState) published() membership.State {
	switch {
	case s.stopping:
		return membership.StateDraining
	case !s.holdsVersion:
		return membership.StateStarting
	default:
		return s.backend
	}
}

// publisher is the part of distribution.Fleet that tells other nodes.
type publisher interface {
	SetState(state membership.State)
}

// readiness publishes the node's state whenever what it depends on changes. It
// is the only caller of the fleet's SetState.
type readiness struct {
	fleet publisher
	// done is closed when the node is ready for the first time, leaving when it
	// publishes that it leaves.
	done, leaving chan struct{}

	mutex sync.Mutex
	state ownState
	once  sync.Once // guards done
}

// newReadiness returns the readiness of a node that holds nothing yet.
func newReadiness(fleet publisher, hasBackend bool) *readiness {
	state := ownState{backend: membership.StateReady}
	if hasBackend {
		state.backend = membership.StateStarting
	}
	return &readiness{fleet: fleet, done: make(chan struct{}), leaving: make(chan struct{}), state: state}
}

// SetState takes the state of the back end from the inbound proxy.
func (r *readiness) SetState(backend membership.State) {
	r.change(func(state *ownState) { state.backend = backend })
}

// holdVersion tells that a configuration is in force.
func (r *readiness) holdVersion() {
	r.change(func(state *ownState) { state.holdsVersion = true })
}

// stop tells that the node leaves. It is called once.
func (r *readiness) stop() {
	r.change(func(state *ownState) { state.stopping = true })
	close(r.leaving)
}

func (r *readiness) change(edit func(state *ownState)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	edit(&r.state)
	published := r.state.published()
	r.fleet.SetState(published)
	if published == membership.StateReady {
		r.once.Do(func() { close(r.done) })
	}
}
