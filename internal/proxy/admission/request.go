// Package admission decides which requests run on a back end: at most so many at
// once (slots), at most so many connections, a short queue that knows deadlines,
// and fairness between routes. Queue is the pure decision; Controller hands its
// grants to goroutines.
package admission

import (
	"time"
)

// Limits bounds one back end.
type Limits struct {
	// Slots is how many requests run at once.
	Slots int
	// Connections is how many connections are used at once: running requests
	// and sessions.
	Connections int
	// MaxQueued is how many requests wait for a slot; zero refuses at once.
	MaxQueued int
}

// RouteLimits bounds one route on the back end.
type RouteLimits struct {
	// MaxInFlight is how many requests of the route run at once; zero: Slots.
	MaxInFlight int
	// MaxQueued is how many requests of the route wait; zero: Limits.MaxQueued.
	MaxQueued int
	// Weight is the route's share of the grants while routes compete; values
	// below 1 count as 1.
	Weight int
}

// Request is one request that asks for a slot.
type Request struct {
	Route  string
	Limits RouteLimits
	// Deadline is when the request's time is over.
	Deadline time.Time
	// Session tells that the answer will be a session (it gives the slot back
	// and keeps the connection).
	Session bool
}

// Ticket names one request in the queue; it is never used again.
type Ticket uint64

// Cause is why a request got no slot. The zero Cause means that it got one or
// still waits.
type Cause uint8

// The causes of a refusal. None of these requests ran.
const (
	CauseNone       Cause = iota
	CauseQueueFull        // too many requests wait
	CauseWait             // the expected wait leaves too little time to run
	CauseExpired          // the time was over before a slot was free
	CauseRouteLimit       // the route's own limits are reached
	CauseSessions         // no connection is left for sessions
	CauseEvicted          // made room for a route that has fewer waiting
	CauseCancelled        // the caller went away
)

// Verdict is the answer to an arrival. The request runs when Granted is set,
// waits when Cause is CauseNone, and is refused otherwise.
type Verdict struct {
	Ticket  Ticket
	Granted bool
	Cause   Cause
	// RetryAfter is when a refused request may find a slot.
	RetryAfter time.Duration
}

// Event tells what became of a waiting request: granted when Cause is CauseNone.
type Event struct {
	Ticket     Ticket
	Cause      Cause
	RetryAfter time.Duration
}

// Usage is what is in use.
type Usage struct {
	InFlight int // requests that hold a slot
	Sessions int // sessions that hold a connection and no slot
	Queued   int // requests that wait
	Slots    int // slots in force
}

// String returns the cause for metrics.
func (c Cause) String() string {
	names := [...]string{
		CauseNone: "none", CauseQueueFull: "queue-full", CauseWait: "wait", CauseExpired: "expired",
		CauseRouteLimit: "route-limit", CauseSessions: "sessions", CauseEvicted: "evicted", CauseCancelled: "cancelled",
	}
	if int(c) >= len(names) {
		return "invalid"
	}
	return names[c]
}
