package queue

import "time"

// Refusal is the reason why a request got no slot.
type Refusal uint8

// The refusals.
const (
	// None: the request got a slot.
	None Refusal = 0
	// Busy: the expected or actual wait exceeds the time that the request may wait.
	Busy Refusal = 1
	// Expired: the latest start of the request has passed.
	Expired Refusal = 2
	// Cancelled: the sender cancelled the request.
	Cancelled Refusal = 3
	// RateLimited: the rate limit, rather than the lack of a slot, makes the wait too long.
	RateLimited Refusal = 4
	// Withdrawn: the request waited as one that can only be late, and the forecast no longer held.
	Withdrawn Refusal = 5
)

// Value is how much an answer is still worth to its caller.
type Value uint8

// The values, the greatest first.
const (
	// ValueFull: the answer can be in time, counted from the caller's first attempt.
	ValueFull Value = 0
	// ValueReduced: the caller was refused before. The answer can be in time, counted from this
	// attempt.
	ValueReduced Value = 1
	// ValueLate: the answer will most likely be late.
	ValueLate Value = 2
)

// Ticket is a request for a slot.
type Ticket struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Value orders the requests of one priority: those with the most valuable answers go first.
	Value Value
	// Due is when the instance should start to process the request.
	Due time.Time
	// LatestStart is the latest start with which the request can still meet its deadline.
	LatestStart time.Time
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
	// Expected is the expected processing time; zero stands for the mean of all requests.
	Expected time.Duration
	// Length is the processing time by which short requests are preferred over long ones;
	// zero disables this for the request.
	Length time.Duration
	// Tenant is the tenant that the request belongs to; empty: none. Tenants of one priority get fair
	// shares of the slots.
	Tenant string
	// OnlyCandidate is set if no other instance can take the request. While less urgent
	// requests wait as well, it then waits beyond MaxWait, up to LatestStart, because the
	// next slot would go to them instead.
	OnlyCandidate bool
	// Forecast is set if the caller wants a late answer as well: a request that can no longer be in time
	// waits on behind the others, beyond MaxWait, as long as it is forecast to start by its latest start.
	Forecast bool
	// Elsewhere is set if another instance may serve the request in time: as soon as it can only be late
	// here, it does not wait.
	Elsewhere bool
	// Retried is set if the caller was rejected before. The request precedes new ones that are due no sooner.
	Retried bool

	// cost is the time for which the request is expected to hold a slot, and beyondShare says that its
	// tenant has had more than its fair share. The queue sets both.
	cost        time.Duration
	beyondShare bool
	// lateLast is set if the request goes behind those of all priorities once it can only be late. The shares of
	// tenants come before the value of an answer, so that it is not set for their requests. The queue sets it.
	lateLast bool
	// startBy is Due as it was on arrival, and canBeDue says that it was not over then. The queue sets both.
	startBy  time.Time
	canBeDue bool
}

// Usage is the number of requests that hold a slot, that wait for one, and of all slots.
type Usage struct {
	Running, Waiting, Slots int
	// Late is the number of further requests that wait behind all that can be in time, which they do not delay.
	Late int
}
