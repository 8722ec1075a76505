package admission

import (
	"time"
)

// Queue assigns slots and connections to requests. It has no clock and no goroutines:
// the time is passed in, and each method returns its decisions. It is not safe for
// concurrent use.
type Queue struct {
	limits     Limits
	inFlight   int
	sessions   int
	queued     int
	last       Ticket
	holders    map[Ticket]*holder
	waiters    map[Ticket]*waiter
	routes     map[string]*route
	roundRobin roundRobin
	holdTime   movingAverage
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

// Usage returns the numbers of running requests, sessions and waiting requests.
func (q *Queue) Usage() Usage {
	return Usage{InFlight: q.inFlight, Sessions: q.sessions, Queued: q.queued, Slots: q.limits.Slots}
}

// Arrive decides on a new request. The events are about other requests, such as one that
// was evicted to make room.
func (q *Queue) Arrive(request Request, now time.Time) (Decision, []Event) {
	if !request.Deadline.After(now) {
		return Decision{Cause: CauseExpired}, nil
	}
	if request.Session && q.sessions >= q.sessionLimit() {
		return Decision{Cause: CauseSessions, RetryAfter: sessionRetryAfter}, nil
	}
	r := q.routeFor(request)
	defer q.removeIdle(r)
	events := q.dispatch(now) // the route's limits may have been raised
	q.last++
	ticket := q.last
	if q.slotFree() && r.mayRun() {
		q.grant(ticket, r, now)
		return Decision{Ticket: ticket, Granted: true}, events
	}
	wait := q.expectedWait(r)
	if cause := q.refusal(r, request.Deadline.Sub(now), wait); cause != CauseNone {
		return Decision{Cause: cause, RetryAfter: wait}, events
	}
	evicted, room := q.makeRoom(r)
	if !room {
		return Decision{Cause: CauseQueueFull, RetryAfter: wait}, events
	}
	q.enqueue(&waiter{ticket: ticket, route: r, deadline: request.Deadline})
	return Decision{Ticket: ticket}, append(events, evicted...)
}

// sessionRetryAfter is the RetryAfter when sessions use all connections, as it cannot
// be predicted when one of them ends.
const sessionRetryAfter = 5 * time.Second

// sessionLimit returns how many sessions are allowed. One connection per slot stays
// reserved for plain requests, so that sessions cannot block them.
func (q *Queue) sessionLimit() int { return max(q.limits.Connections-q.limits.Slots, 0) }

// refusal returns the cause for which a request that cannot run now is refused at once,
// or CauseNone if it may wait.
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
	if wait > time.Duration(maxWaitShare*float64(remaining)) {
		return CauseWait
	}
	return CauseNone
}

// maxWaitShare is the maximum expected wait as a share of a request's remaining time.
// It tolerates an estimate that is wrong by a factor of two and leaves time to run.
const maxWaitShare = 0.5

// makeRoom reports whether one more request of the route may wait. If the queue is full,
// it evicts the newest request of the route with the most waiting requests relative to
// its weight, unless that is the same route or the given route would then have at least
// as many relative to its weight.
func (q *Queue) makeRoom(r *route) ([]Event, bool) {
	if q.queued < q.limits.MaxQueued {
		return nil, true
	}
	longest := q.roundRobin.longest()
	if longest == nil || longest == r || longest.weightedQueueLength(0) <= r.weightedQueueLength(1) {
		return nil, false
	}
	victim := longest.waiting[len(longest.waiting)-1]
	q.dequeue(victim)
	q.removeIdle(longest)
	return []Event{{Ticket: victim.ticket, Cause: CauseEvicted, RetryAfter: q.expectedWait(longest)}}, true
}

// Release returns the slot or the session's connection that the ticket holds. It panics
// if the ticket holds neither, because the slot would otherwise be released twice.
func (q *Queue) Release(ticket Ticket, now time.Time) []Event {
	h := q.holderOf(ticket)
	delete(q.holders, ticket)
	if h.session {
		q.sessions--
		return q.dispatch(now)
	}
	q.returnSlot(h, now)
	return q.dispatch(now)
}

// BecomeSession turns a running request into a session, which returns its slot and keeps
// its connection. If the limit of sessions is reached, the request keeps its slot
// instead.
func (q *Queue) BecomeSession(ticket Ticket, now time.Time) []Event {
	h := q.holderOf(ticket)
	if h.session || q.sessions >= q.sessionLimit() {
		return nil
	}
	h.session = true
	q.sessions++
	q.returnSlot(h, now)
	return q.dispatch(now)
}

func (q *Queue) holderOf(ticket Ticket) *holder {
	h, ok := q.holders[ticket]
	if !ok {
		panic("admission: the ticket holds neither a slot nor a connection")
	}
	return h
}

func (q *Queue) returnSlot(h *holder, now time.Time) {
	q.inFlight--
	h.route.inFlight--
	q.holdTime.add(now.Sub(h.since))
	q.removeIdle(h.route)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(ticket Ticket) bool {
	w, ok := q.waiters[ticket]
	if !ok {
		return false
	}
	q.dequeue(w)
	q.removeIdle(w.route)
	return true
}

// SetLimits changes the limits. Running requests are not interrupted; while more of them
// run than the new limits allow, no slot is granted.
func (q *Queue) SetLimits(limits Limits, now time.Time) []Event {
	q.limits = limits
	return q.dispatch(now)
}

// Expire removes the waiting requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Event {
	var events []Event
	for _, w := range q.waiters {
		if !w.deadline.After(now) {
			q.dequeue(w)
			q.removeIdle(w.route)
			events = append(events, Event{Ticket: w.ticket, Cause: CauseExpired})
		}
	}
	return events
}

// dispatch grants free slots to waiting requests, taking turns between routes.
func (q *Queue) dispatch(now time.Time) []Event {
	var events []Event
	for q.slotFree() {
		r := q.roundRobin.pick()
		if r == nil {
			break
		}
		w := r.waiting[0]
		q.dequeue(w)
		if !w.deadline.After(now) {
			q.removeIdle(r)
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
		q.roundRobin.addRoute(w.route)
	}
	w.route.waiting = append(w.route.waiting, w)
}

func (q *Queue) dequeue(w *waiter) {
	q.queued--
	delete(q.waiters, w.ticket)
	w.route.remove(w)
	if len(w.route.waiting) == 0 {
		q.roundRobin.removeRoute(w.route)
	}
}

// routeFor returns the state of the request's route, with the limits updated.
func (q *Queue) routeFor(request Request) *route {
	r, ok := q.routes[request.Route]
	if !ok {
		r = &route{name: request.Route}
		q.routes[request.Route] = r
	}
	r.limits = request.Limits
	return r
}

// removeIdle removes the state of a route without running or waiting requests, so that
// the number of stored routes stays bounded.
func (q *Queue) removeIdle(r *route) {
	if r.inFlight == 0 && len(r.waiting) == 0 && q.routes[r.name] == r {
		delete(q.routes, r.name)
	}
}
