package admission

import (
	"time"
)

// Queue decides on slots and connections. It has no clock and no goroutine: now
// is passed in, and each method returns what it decided. It is not safe for
// concurrent use.
type Queue struct {
	limits   Limits
	inFlight int
	sessions int
	queued   int
	last     Ticket
	holders  map[Ticket]*holder
	waiters  map[Ticket]*waiter
	routes   map[string]*route
	ring     ring
	hold     estimate
}

type holder struct {
	route   *route
	since   time.Time
	session bool // holds a connection and no slot
}

type waiter struct {
	ticket   Ticket
	route    *route
	deadline time.Time
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{
		limits:  limits,
		holders: map[Ticket]*holder{},
		waiters: map[Ticket]*waiter{},
		routes:  map[string]*route{},
	}
}

// Usage returns what is in use.
func (q *Queue) Usage() Usage {
	return Usage{InFlight: q.inFlight, Sessions: q.sessions, Queued: q.queued, Slots: q.limits.Slots}
}

// Arrive decides on a new request. The events concern other requests, such as one
// that was evicted to make room.
func (q *Queue) Arrive(request Request, now time.Time) (Verdict, []Event) {
	if !request.Deadline.After(now) {
		return Verdict{Cause: CauseExpired}, nil
	}
	if request.Session && q.sessions >= q.sessionLimit() {
		return Verdict{Cause: CauseSessions, RetryAfter: sessionRetryAfter}, nil
	}
	r := q.routeFor(request)
	defer q.forget(r)
	events := q.dispatch(now) // the route's limits may have been raised
	q.last++
	ticket := q.last
	if q.slotFree() && r.mayRun() {
		q.grant(ticket, r, now)
		return Verdict{Ticket: ticket, Granted: true}, events
	}
	wait := q.expectedWait(r)
	if cause := q.refusal(r, request.Deadline.Sub(now), wait); cause != CauseNone {
		return Verdict{Cause: cause, RetryAfter: wait}, events
	}
	evicted, room := q.makeRoom(r)
	if !room {
		return Verdict{Cause: CauseQueueFull, RetryAfter: wait}, events
	}
	q.enqueue(&waiter{ticket: ticket, route: r, deadline: request.Deadline})
	return Verdict{Ticket: ticket}, append(events, evicted...)
}

// sessionRetryAfter is the advice when sessions hold every connection: nobody
// knows when one ends.
const sessionRetryAfter = 5 * time.Second

// sessionLimit leaves a connection for each slot, so that sessions never keep
// plain requests out.
func (q *Queue) sessionLimit() int { return max(q.limits.Connections-q.limits.Slots, 0) }

// refusal decides whether a request that cannot run now is refused at once.
func (q *Queue) refusal(r *route, remaining, wait time.Duration) Cause {
	if r.limits.MaxQueued > 0 && len(r.waiting) >= r.limits.MaxQueued {
		return CauseRouteLimit
	}
	if q.limits.MaxQueued <= 0 {
		if !r.mayRun() {
			return CauseRouteLimit
		}
		return CauseQueueFull
	}
	if wait > time.Duration(waitShare*float64(remaining)) {
		return CauseWait
	}
	return CauseNone
}

// waitShare is the part of a request's remaining time that it may be expected to
// wait: the estimate may be wrong by a factor of two and time to run is left.
const waitShare = 0.5

// makeRoom reports whether one more request of the route may wait. When the queue
// is full, the newest of the route with the most waiting by weight leaves it,
// unless that route is the same or would then have less than this one.
func (q *Queue) makeRoom(r *route) ([]Event, bool) {
	if q.queued < q.limits.MaxQueued {
		return nil, true
	}
	longest := q.ring.longest()
	if longest == nil || longest == r || longest.share(0) <= r.share(1) {
		return nil, false
	}
	victim := longest.waiting[len(longest.waiting)-1]
	q.leave(victim)
	q.forget(longest)
	return []Event{{Ticket: victim.ticket, Cause: CauseEvicted, RetryAfter: q.expectedWait(longest)}}, true
}

// Release gives back what the ticket holds: a slot or a session's connection. It
// panics when the ticket holds nothing, as a slot would then be counted twice.
func (q *Queue) Release(ticket Ticket, now time.Time) []Event {
	h := q.mustHold(ticket)
	delete(q.holders, ticket)
	if h.session {
		q.sessions--
		return q.dispatch(now)
	}
	q.returnSlot(h, now)
	return q.dispatch(now)
}

// BecomeSession turns a running request into a session, which gives its slot back
// and keeps its connection. When sessions hold all connections beyond the slots,
// the request keeps its slot instead.
func (q *Queue) BecomeSession(ticket Ticket, now time.Time) []Event {
	h := q.mustHold(ticket)
	if h.session || q.sessions >= q.sessionLimit() {
		return nil
	}
	h.session = true
	q.sessions++
	q.returnSlot(h, now)
	return q.dispatch(now)
}

func (q *Queue) mustHold(ticket Ticket) *holder {
	h, ok := q.holders[ticket]
	if !ok {
		panic("admission: the ticket holds no slot")
	}
	return h
}

func (q *Queue) returnSlot(h *holder, now time.Time) {
	q.inFlight--
	h.route.inFlight--
	q.hold.add(now.Sub(h.since))
	q.forget(h.route)
}

// Cancel takes a waiting request out and reports whether it was waiting.
func (q *Queue) Cancel(ticket Ticket) bool {
	w, ok := q.waiters[ticket]
	if !ok {
		return false
	}
	q.leave(w)
	q.forget(w.route)
	return true
}

// SetLimits changes the bounds. What runs already is left to finish: above a
// lowered bound nothing new is granted.
func (q *Queue) SetLimits(limits Limits, now time.Time) []Event {
	q.limits = limits
	return q.dispatch(now)
}

// Expire takes out the requests whose time is over.
func (q *Queue) Expire(now time.Time) []Event {
	var events []Event
	for _, w := range q.waiters {
		if !w.deadline.After(now) {
			q.leave(w)
			q.forget(w.route)
			events = append(events, Event{Ticket: w.ticket, Cause: CauseExpired})
		}
	}
	return events
}

// dispatch grants free slots to waiting requests in turn.
func (q *Queue) dispatch(now time.Time) []Event {
	var events []Event
	for q.slotFree() {
		r := q.ring.pick()
		if r == nil {
			break
		}
		w := r.waiting[0]
		q.leave(w)
		if !w.deadline.After(now) {
			q.forget(r)
			events = append(events, Event{Ticket: w.ticket, Cause: CauseExpired})
			continue
		}
		q.grant(w.ticket, r, now)
		events = append(events, Event{Ticket: w.ticket})
	}
	return events
}

func (q *Queue) slotFree() bool {
	return q.inFlight < q.limits.Slots && q.inFlight+q.sessions < q.limits.Connections
}

func (q *Queue) grant(ticket Ticket, r *route, now time.Time) {
	q.inFlight++
	r.inFlight++
	q.holders[ticket] = &holder{route: r, since: now}
}

func (q *Queue) enqueue(w *waiter) {
	q.queued++
	q.waiters[w.ticket] = w
	if len(w.route.waiting) == 0 {
		q.ring.join(w.route)
	}
	w.route.waiting = append(w.route.waiting, w)
}

func (q *Queue) leave(w *waiter) {
	q.queued--
	delete(q.waiters, w.ticket)
	w.route.remove(w)
	if len(w.route.waiting) == 0 {
		q.ring.leave(w.route)
	}
}

// routeFor returns the state of the request's route with its limits of now.
func (q *Queue) routeFor(request Request) *route {
	r, ok := q.routes[request.Route]
	if !ok {
		r = &route{name: request.Route}
		q.routes[request.Route] = r
	}
	r.limits = request.Limits
	return r
}

// forget drops the state of a route that holds nothing, so that route names do
// not pile up.
func (q *Queue) forget(r *route) {
	if r.inFlight == 0 && len(r.waiting) == 0 && q.routes[r.name] == r {
		delete(q.routes, r.name)
	}
}
