package admission

import (
	"context"
	"sync"
	"time"
)

// Refusal tells why a request got no slot; it did not run.
type Refusal struct {
	Cause Cause
	// RetryAfter is when a slot may be free; zero: not known.
	RetryAfter time.Duration
}

// Controller is a Queue for goroutines: it hands slots to waiting requests by
// channel. Its methods may be called from any goroutine.
type Controller struct {
	mu      sync.Mutex
	queue   *Queue
	pending map[Ticket]chan Event
}

// NewController returns a controller with nothing in use.
func NewController(limits Limits) *Controller {
	return &Controller{queue: NewQueue(limits), pending: map[Ticket]chan Event{}}
}

// Slot is the right to run one request. Release must be called once the back end
// is done with it.
type Slot struct {
	controller *Controller
	ticket     Ticket
	once       sync.Once
}

// Acquire waits for a slot until the request's deadline or the end of ctx (the
// caller went away). It returns nil and the refusal when there is none.
func (c *Controller) Acquire(ctx context.Context, request Request) (*Slot, Refusal) {
	verdict, grant := c.arrive(request)
	if verdict.Granted {
		return c.slot(verdict.Ticket), Refusal{}
	}
	if verdict.Cause != CauseNone {
		return nil, Refusal{Cause: verdict.Cause, RetryAfter: verdict.RetryAfter}
	}
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case event := <-grant:
		return c.settle(event)
	case <-timer.C:
		return c.abandon(verdict.Ticket, grant, CauseExpired)
	case <-ctx.Done():
		return c.abandon(verdict.Ticket, grant, CauseCancelled)
	}
}

func (c *Controller) arrive(request Request) (Verdict, <-chan Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, events := c.queue.Arrive(request, time.Now())
	c.deliver(events)
	if verdict.Granted || verdict.Cause != CauseNone {
		return verdict, nil
	}
	grant := make(chan Event, 1)
	c.pending[verdict.Ticket] = grant
	return verdict, grant
}

// deliver hands events to those that wait; the channels never block.
func (c *Controller) deliver(events []Event) {
	for _, event := range events {
		c.pending[event.Ticket] <- event
		delete(c.pending, event.Ticket)
	}
}

func (c *Controller) settle(event Event) (*Slot, Refusal) {
	if event.Cause != CauseNone {
		return nil, Refusal{Cause: event.Cause, RetryAfter: event.RetryAfter}
	}
	return c.slot(event.Ticket), Refusal{}
}

// abandon takes a request out of the queue. A slot that was granted in the same
// moment is given back.
func (c *Controller) abandon(ticket Ticket, grant <-chan Event, cause Cause) (*Slot, Refusal) {
	c.mu.Lock()
	waiting := c.queue.Cancel(ticket)
	delete(c.pending, ticket)
	c.mu.Unlock()
	if !waiting {
		if slot, _ := c.settle(<-grant); slot != nil {
			slot.Release()
		}
	}
	return nil, Refusal{Cause: cause}
}

func (c *Controller) slot(ticket Ticket) *Slot { return &Slot{controller: c, ticket: ticket} }

// Release gives back the slot, or the connection of a session. Later calls do
// nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		c := s.controller
		c.mu.Lock()
		defer c.mu.Unlock()
		c.deliver(c.queue.Release(s.ticket, time.Now()))
	})
}

// BecomeSession gives the slot back and keeps the connection until Release. It
// must not be called after Release.
func (s *Slot) BecomeSession() {
	c := s.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(c.queue.BecomeSession(s.ticket, time.Now()))
}

// SetLimits changes the bounds; what runs is left to finish.
func (c *Controller) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.limits == limits {
		return
	}
	c.deliver(c.queue.SetLimits(limits, time.Now()))
}

// Usage returns what is in use.
func (c *Controller) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Usage()
}
