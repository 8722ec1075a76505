package admission

import (
	"context"
	"sync"
	"time"
)

// Refusal states why a request got no slot. The request did not run.
type Refusal struct {
	Cause Cause
	// RetryAfter is the time until a slot may be free; zero: unknown.
	RetryAfter time.Duration
}

// Controller makes a Queue usable by goroutines: waiting requests receive their slots
// through channels. It is safe for concurrent use.
type Controller struct {
	mu      sync.Mutex
	queue   *Queue
	pending map[Ticket]chan Event
}

// NewController returns a controller without any requests.
func NewController(limits Limits) *Controller {
	return &Controller{queue: NewQueue(limits), pending: map[Ticket]chan Event{}}
}

// Slot is the permission to run one request. Release must be called when the backend
// has finished the request.
type Slot struct {
	controller *Controller
	ticket     Ticket
	once       sync.Once
}

// Acquire waits for a slot until the request's deadline or until ctx ends because the
// caller disconnected. If the request gets no slot, it returns nil and the refusal.
func (c *Controller) Acquire(ctx context.Context, request Request) (*Slot, Refusal) {
	decision, grant := c.arrive(request)
	if decision.Granted {
		return c.slot(decision.Ticket), Refusal{}
	}
	if decision.Cause != CauseNone {
		return nil, Refusal{Cause: decision.Cause, RetryAfter: decision.RetryAfter}
	}
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case event := <-grant:
		return c.resolve(event)
	case <-timer.C:
		return c.abandon(decision.Ticket, grant, CauseExpired)
	case <-ctx.Done():
		return c.abandon(decision.Ticket, grant, CauseCancelled)
	}
}

func (c *Controller) arrive(request Request) (Decision, <-chan Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision, events := c.queue.Arrive(request, time.Now())
	c.deliverEvents(events)
	if decision.Granted || decision.Cause != CauseNone {
		return decision, nil
	}
	grant := make(chan Event, 1)
	c.pending[decision.Ticket] = grant
	return decision, grant
}

// deliverEvents sends events to the waiting requests. Each channel has room for its
// only event, so sending never blocks.
func (c *Controller) deliverEvents(events []Event) {
	for _, event := range events {
		c.pending[event.Ticket] <- event
		delete(c.pending, event.Ticket)
	}
}

func (c *Controller) resolve(event Event) (*Slot, Refusal) {
	if event.Cause != CauseNone {
		return nil, Refusal{Cause: event.Cause, RetryAfter: event.RetryAfter}
	}
	return c.slot(event.Ticket), Refusal{}
}

// abandon removes a request from the queue. A slot that was granted concurrently is
// released.
func (c *Controller) abandon(ticket Ticket, grant <-chan Event, cause Cause) (*Slot, Refusal) {
	c.mu.Lock()
	waiting := c.queue.Cancel(ticket)
	delete(c.pending, ticket)
	c.mu.Unlock()
	if !waiting {
		if slot, _ := c.resolve(<-grant); slot != nil {
			slot.Release()
		}
	}
	return nil, Refusal{Cause: cause}
}

func (c *Controller) slot(ticket Ticket) *Slot { return &Slot{controller: c, ticket: ticket} }

// Release returns the slot, or the connection of a session. Calls after the first have
// no effect.
func (s *Slot) Release() {
	s.once.Do(func() {
		c := s.controller
		c.mu.Lock()
		defer c.mu.Unlock()
		c.deliverEvents(c.queue.Release(s.ticket, time.Now()))
	})
}

// BecomeSession returns the slot and keeps the connection until Release. It must not be
// called after Release.
func (s *Slot) BecomeSession() {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliverEvents(c.queue.BecomeSession(s.ticket, time.Now()))
}

// SetLimits changes the limits. Running requests are not interrupted.
func (c *Controller) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.limits == limits {
		return
	}
	c.deliverEvents(c.queue.SetLimits(limits, time.Now()))
}

// Usage returns the numbers of running requests, sessions and waiting requests.
func (c *Controller) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Usage()
}
