package app

import (
	"sync"

	"github.com/winchhead/winchhead/internal/membership"
)

// ownState holds what determines the state that the node publishes about itself.
type ownState struct {
	// hasConfiguration is set once a configuration is in force.
	hasConfiguration bool
	// backend is the state of the node's backend, or StateReady for a node without one.
	backend membership.State
	// stopping is set by a graceful shutdown and never reset.
	stopping bool
}

// published returns the state to publish to other nodes.
func (s ownState) published() membership.State {
	switch {
	case s.stopping:
		return membership.StateDraining
	case !s.hasConfiguration:
		return membership.StateStarting
	default:
		return s.backend
	}
}

// publisher is the part of the distribution that publishes the node's state.
type publisher interface {
	SetState(state membership.State)
}

// readiness publishes the node's state whenever one of its inputs changes. Nothing else
// calls the fleet's SetState.
type readiness struct {
	fleet publisher
	// done is closed when the node is ready for the first time, leaving when it has
	// published that it leaves.
	done, leaving chan struct{}

	mutex sync.Mutex
	state ownState
	once  sync.Once // guards done
}

// newReadiness returns the readiness of a node without a configuration.
func newReadiness(fleet publisher, hasBackend bool) *readiness {
	state := ownState{backend: membership.StateReady}
	if hasBackend {
		state.backend = membership.StateStarting
	}
	return &readiness{fleet: fleet, done: make(chan struct{}), leaving: make(chan struct{}), state: state}
}

// SetState sets the state of the backend, as reported by the inbound proxy.
func (r *readiness) SetState(backend membership.State) {
	r.update(func(state *ownState) { state.backend = backend })
}

// markConfigured records that a configuration is in force.
func (r *readiness) markConfigured() {
	r.update(func(state *ownState) { state.hasConfiguration = true })
}

// stop publishes that the node leaves. It must be called only once.
func (r *readiness) stop() {
	r.update(func(state *ownState) { state.stopping = true })
	close(r.leaving)
}

func (r *readiness) update(edit func(state *ownState)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	edit(&r.state)
	published := r.state.published()
	r.fleet.SetState(published)
	if published == membership.StateReady {
		r.once.Do(func() { close(r.done) })
	}
}
