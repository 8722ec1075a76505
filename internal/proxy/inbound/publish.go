package inbound

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/membership"
)

// readinessPublisher makes a readiness safe for concurrent use and publishes its
// changes in order.
type readinessPublisher struct {
	mu        sync.Mutex
	readiness *readiness
	publisher StatePublisher
	logger    logrus.FieldLogger
	stopping  bool
	published membership.State // zero: nothing was published
}

func newReadinessPublisher(publisher StatePublisher, logger logrus.FieldLogger, hasHealthEndpoint bool) *readinessPublisher {
	return &readinessPublisher{readiness: newReadiness(hasHealthEndpoint), publisher: publisher, logger: logger}
}

// observe applies an event and publishes the state if it changed.
func (p *readinessPublisher) observe(event func(readiness *readiness, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event(p.readiness, time.Now())
	p.publish()
}

// stop publishes that the node is draining; from then on the backend's state is
// ignored.
func (p *readinessPublisher) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	p.publish()
}

func (p *readinessPublisher) publish() {
	state := p.current()
	if state == p.published {
		return
	}
	p.logger.WithField("state", state).Info("backend state changed")
	p.published = state
	p.publisher.SetState(state)
}

func (p *readinessPublisher) current() membership.State {
	if p.stopping {
		return membership.StateDraining
	}
	return p.readiness.state
}

func (p *readinessPublisher) state() membership.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current()
}

func (p *readinessPublisher) degraded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readiness.degraded(now)
}
