package admission_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/proxy/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(route string, timeout time.Duration, limits admission.RouteLimits) admission.Request {
	return admission.Request{Route: route, Limits: limits, Deadline: start.Add(timeout)}
}

func TestArrivals(t *testing.T) {
	plain := admission.RouteLimits{}
	limits := admission.Limits{Slots: 1, Connections: 2, MaxQueued: 1}
	for _, test := range []struct {
		name    string
		limits  admission.Limits
		before  []admission.Request
		arrival admission.Request
		granted bool
		cause   admission.Cause
	}{
		{"free slot", limits, nil, request("a", time.Second, plain), true, admission.CauseNone},
		{"no free slot, waits", limits, []admission.Request{request("a", time.Second, plain)},
			request("a", time.Second, plain), false, admission.CauseNone},
		{"queue full", limits,
			[]admission.Request{request("a", time.Second, plain), request("a", time.Second, plain)},
			request("a", time.Second, plain), false, admission.CauseQueueFull},
		{"no queue", admission.Limits{Slots: 1, Connections: 2},
			[]admission.Request{request("a", time.Second, plain)},
			request("a", time.Second, plain), false, admission.CauseQueueFull},
		{"deadline exceeded", limits, nil, request("a", 0, plain), false, admission.CauseExpired},
		{"route at its limit of waiting requests", admission.Limits{Slots: 1, Connections: 2, MaxQueued: 9},
			[]admission.Request{request("a", time.Second, plain), request("a", time.Second, plain)},
			request("a", time.Second, admission.RouteLimits{MaxQueued: 1}), false, admission.CauseRouteLimit},
		{"route at its limit of running requests, no queue", admission.Limits{Slots: 2, Connections: 4},
			[]admission.Request{request("a", time.Second, plain)},
			request("a", time.Second, admission.RouteLimits{MaxInFlight: 1}), false, admission.CauseRouteLimit},
		{"no connection for a session", admission.Limits{Slots: 1, Connections: 1}, nil,
			admission.Request{Route: "a", Deadline: start.Add(time.Second), Session: true}, false, admission.CauseSessions},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := admission.NewQueue(test.limits)
			for _, earlier := range test.before {
				q.Arrive(earlier, start)
			}
			decision, events := q.Arrive(test.arrival, start)
			c.Check(decision.Granted, qt.Equals, test.granted)
			c.Check(decision.Cause, qt.Equals, test.cause)
			c.Check(events, qt.HasLen, 0)
		})
	}
}

func TestExpectedWaitBeyondDeadlineIsRefused(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(admission.Limits{Slots: 1, Connections: 2, MaxQueued: 9})
	first, _ := q.Arrive(request("a", time.Minute, admission.RouteLimits{}), start)
	now := start.Add(time.Second)
	q.Release(first.Ticket, now) // a request holds its slot for one second
	q.Arrive(request("a", time.Minute, admission.RouteLimits{}), now)
	refused, _ := q.Arrive(request("a", 2*time.Second, admission.RouteLimits{}), now)
	c.Check(refused.Cause, qt.Equals, admission.CauseWait)
	c.Check(refused.RetryAfter, qt.Equals, time.Second)
	waiting, _ := q.Arrive(request("a", time.Minute, admission.RouteLimits{}), now)
	c.Check(waiting.Cause, qt.Equals, admission.CauseNone)
}

// While one route fills the queue, requests of another route still get into the queue
// and get their share of the slots.
func TestFloodedRouteDoesNotStarveOthers(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(admission.Limits{Slots: 1, Connections: 2, MaxQueued: 8})
	running, _ := q.Arrive(request("read", time.Hour, admission.RouteLimits{}), start)
	for range 20 {
		q.Arrive(request("read", time.Hour, admission.RouteLimits{}), start)
	}
	bookings := map[admission.Ticket]bool{}
	for range 4 {
		decision, events := q.Arrive(request("book", time.Hour, admission.RouteLimits{Weight: 2}), start)
		c.Assert(decision.Cause, qt.Equals, admission.CauseNone)
		c.Assert(events, qt.HasLen, 1)
		c.Assert(events[0].Cause, qt.Equals, admission.CauseEvicted)
		bookings[decision.Ticket] = true
	}
	granted := 0
	holding := running.Ticket
	for range 6 {
		events := q.Release(holding, start)
		c.Assert(events, qt.HasLen, 1)
		holding = events[0].Ticket
		if bookings[holding] {
			granted++
		}
	}
	c.Check(granted, qt.Equals, 4)
}

func TestSessionReleasesItsSlot(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(admission.Limits{Slots: 1, Connections: 2, MaxQueued: 9})
	session, _ := q.Arrive(request("a", time.Hour, admission.RouteLimits{}), start)
	waiting, _ := q.Arrive(request("a", time.Hour, admission.RouteLimits{}), start)
	events := q.BecomeSession(session.Ticket, start)
	c.Check(events, qt.DeepEquals, []admission.Event{{Ticket: waiting.Ticket}})
	c.Check(q.Usage(), qt.Equals, admission.Usage{InFlight: 1, Sessions: 1, Slots: 1})
	c.Check(q.BecomeSession(waiting.Ticket, start), qt.HasLen, 0)
	c.Check(q.Usage(), qt.Equals, admission.Usage{InFlight: 1, Sessions: 1, Slots: 1},
		qt.Commentf("no connection is left beyond the slots: the second keeps its slot"))
}

// model drives a queue and independently tracks the state of every ticket.
type model struct {
	queue   *admission.Queue
	limits  admission.Limits
	now     time.Time
	holding map[admission.Ticket]bool
	waiting map[admission.Ticket]time.Time // deadlines
}

// apply checks each event against the model and updates the model.
func (m *model) apply(t *rapid.T, events []admission.Event) {
	for _, event := range events {
		deadline, waiting := m.waiting[event.Ticket]
		if !waiting {
			t.Fatalf("event for ticket %d, which is not waiting", event.Ticket)
		}
		delete(m.waiting, event.Ticket)
		if event.Cause != admission.CauseNone {
			continue
		}
		if !deadline.After(m.now) {
			t.Fatalf("ticket %d granted after its deadline", event.Ticket)
		}
		if m.queue.Usage().InFlight > m.limits.Slots || m.queue.Usage().InFlight+m.queue.Usage().Sessions > m.limits.Connections {
			t.Fatalf("granted above the limits: %+v of %+v", m.queue.Usage(), m.limits)
		}
		m.holding[event.Ticket] = true
	}
}

func anyTicket[V any](t *rapid.T, tickets map[admission.Ticket]V) admission.Ticket {
	if len(tickets) == 0 {
		t.Skip("no ticket to choose from")
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(tickets))).Draw(t, "ticket")
}

// For arbitrary orders of events: no limit is exceeded, each waiting request gets exactly
// one event, no request waits while a slot is free, and at the end all slots and
// connections are returned.
func TestArbitraryEventOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
		m := &model{now: start, holding: map[admission.Ticket]bool{}, waiting: map[admission.Ticket]time.Time{}}
		drawLimits := func(t *rapid.T) admission.Limits {
			return admission.Limits{Slots: draw("slots", 1, 4), Connections: draw("connections", 1, 8), MaxQueued: draw("queue", 0, 6)}
		}
		m.limits = drawLimits(t)
		m.queue = admission.NewQueue(m.limits)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				arrival := admission.Request{
					Route: strconv.Itoa(draw("route", 0, 3)), Deadline: m.now.Add(time.Duration(draw("timeout", 0, 50))),
					Session: rapid.Bool().Draw(t, "session"),
					Limits:  admission.RouteLimits{Weight: draw("weight", 0, 3), MaxQueued: draw("route queue", 0, 3)},
				}
				decision, events := m.queue.Arrive(arrival, m.now)
				m.apply(t, events)
				switch {
				case decision.Granted:
					m.waiting[decision.Ticket] = arrival.Deadline
					m.apply(t, []admission.Event{{Ticket: decision.Ticket}})
				case decision.Cause == admission.CauseNone:
					m.waiting[decision.Ticket] = arrival.Deadline
				}
			},
			"release": func(t *rapid.T) {
				ticket := anyTicket(t, m.holding)
				delete(m.holding, ticket)
				m.apply(t, m.queue.Release(ticket, m.now))
			},
			"session": func(t *rapid.T) { m.apply(t, m.queue.BecomeSession(anyTicket(t, m.holding), m.now)) },
			"cancel": func(t *rapid.T) {
				ticket := anyTicket(t, m.waiting)
				if !m.queue.Cancel(ticket) {
					t.Fatalf("ticket %d is waiting but could not be cancelled", ticket)
				}
				delete(m.waiting, ticket)
			},
			"limits": func(t *rapid.T) {
				m.limits = drawLimits(t)
				m.apply(t, m.queue.SetLimits(m.limits, m.now))
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(draw("step", 1, 40)))
				m.apply(t, m.queue.Expire(m.now))
			},
			"": func(t *rapid.T) {
				usage := m.queue.Usage()
				if usage.InFlight+usage.Sessions != len(m.holding) || usage.Queued != len(m.waiting) {
					t.Fatalf("usage %+v differs from the model: %d holding, %d waiting", usage, len(m.holding), len(m.waiting))
				}
				free := usage.InFlight < m.limits.Slots && usage.InFlight+usage.Sessions < m.limits.Connections
				if free && usage.Queued > 0 {
					t.Fatalf("a slot is free while %d requests wait", usage.Queued)
				}
			},
		})
		for ticket := range m.waiting {
			m.queue.Cancel(ticket)
		}
		for ticket := range m.holding {
			m.queue.Release(ticket, m.now)
		}
		usage := m.queue.Usage()
		if usage.InFlight+usage.Sessions+usage.Queued != 0 {
			t.Fatalf("usage after all requests ended: %+v", usage)
		}
	})
}

func TestRouteLimitLeavesSlotsToOthers(t *testing.T) {
	c := qt.New(t)
	q := admission.NewQueue(admission.Limits{Slots: 2, Connections: 4, MaxQueued: 9})
	limited := admission.RouteLimits{MaxInFlight: 1}
	first, _ := q.Arrive(request("read", time.Hour, limited), start)
	second, _ := q.Arrive(request("read", time.Hour, limited), start)
	c.Check(second.Granted, qt.IsFalse)
	booking, _ := q.Arrive(request("book", time.Hour, admission.RouteLimits{}), start)
	c.Check(booking.Granted, qt.IsTrue)
	c.Check(q.Release(first.Ticket, start), qt.DeepEquals, []admission.Event{{Ticket: second.Ticket}})
	raised, events := q.Arrive(request("read", time.Hour, admission.RouteLimits{MaxInFlight: 2}), start)
	c.Check(raised.Granted, qt.IsFalse)
	c.Check(events, qt.HasLen, 0)
}
