// Package admission decides which requests run on a backend. It limits concurrent
// requests (slots) and connections, has a short queue that respects deadlines, and is
// fair between routes. Queue makes the decisions without side effects; Controller makes
// it usable by goroutines.
package admission

import (
	"time"
)

// Limits are the limits of one backend.
type Limits struct {
	// Slots is the maximum number of requests that run at once.
	Slots int
	// Connections is the maximum number of connections in use, counting running
	// requests and sessions.
	Connections int
	// MaxQueued is the maximum number of requests that wait for a slot; zero means
	// that requests are refused if no slot is free.
	MaxQueued int
}

// RouteLimits are the limits of one route on the backend.
type RouteLimits struct {
	// MaxInFlight is the maximum number of requests of the route that run at once;
	// zero: Slots.
	MaxInFlight int
	// MaxQueued is the maximum number of requests of the route that wait; zero:
	// Limits.MaxQueued.
	MaxQueued int
	// Weight determines the route's share of the slots while several routes have
	// requests waiting; values below 1 count as 1.
	Weight int
}

// Request is one request that asks for a slot.
type Request struct {
	Route    string
	Limits   RouteLimits
	Deadline time.Time
	// Session is set if the request will become a session, which returns the slot
	// and keeps the connection.
	Session bool
}

// Ticket identifies one request; it is never reused.
type Ticket uint64

// Cause is why a request got no slot. CauseNone means that it got one or still waits.
type Cause uint8

// The causes of a refusal. None of these requests ran.
const (
	CauseNone       Cause = iota
	CauseQueueFull        // too many requests wait
	CauseWait             // the expected wait leaves too little time to run
	CauseExpired          // the deadline passed before a slot was free
	CauseRouteLimit       // a limit of the route is reached
	CauseSessions         // no connection is left for sessions
	CauseEvicted          // removed for a route with fewer waiting requests relative to its weight
	CauseCancelled        // the caller disconnected
)

// Decision is the result of an arrival. If Granted is set, the request runs; otherwise it
// waits if Cause is CauseNone and is refused if not.
type Decision struct {
	Ticket  Ticket
	Granted bool
	Cause   Cause
	// RetryAfter is the time until a refused request may get a slot.
	RetryAfter time.Duration
}

// Event is the result for a waiting request: a slot if Cause is CauseNone, a refusal
// otherwise.
type Event struct {
	Ticket     Ticket
	Cause      Cause
	RetryAfter time.Duration
}

// Usage contains the numbers of requests and sessions on a backend.
type Usage struct {
	InFlight int // requests that hold a slot
	Sessions int // sessions that hold a connection and no slot
	Queued   int // requests that wait
	Slots    int // current limit of slots
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
