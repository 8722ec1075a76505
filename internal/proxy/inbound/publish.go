package inbound

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/membership"
)

// readinessPublisher is a readiness for goroutines that publishes its changes in
// their order.
type readinessPublisher struct {
	mu        sync.Mutex
	readiness *readiness
	publisher StatePublisher
	logger    logrus.FieldLogger
	stopping  bool
	published membership.State // zero: nothing yet
}

func newReadinessPublisher(publisher StatePublisher, logger logrus.FieldLogger, reports bool) *readinessPublisher {
	return &readinessPublisher{readiness: newReadiness(reports), publisher: publisher, logger: logger}
}

// observe takes an event in and publishes the state when it changed.
func (p *readinessPublisher) observe(event func(readiness *readiness, now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	event(p.readiness, time.Now())
	p.publish()
}

// stop publishes that the node stops; the back end's state no longer matters.
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
	p.logger.WithField("state", state).Info("back end state changed")
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

func (p *readinessPublisher) doubted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readiness.doubted(now)
}
