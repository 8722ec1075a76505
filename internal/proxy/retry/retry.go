// Package retry decides whether a request may be retried and contains the retry
// budget of a service. Its decisions are pure: no input or output, no wall clock.
package retry

import (
	"time"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// minRemaining is the minimum remaining time for a further attempt. With less, the
// response would arrive after the deadline.
const minRemaining = 2 * time.Millisecond

// Attempt describes an attempt that failed without a response of a backend.
type Attempt struct {
	// Number is the number of attempts so far, including the failed one.
	Number int
	// MaxAttempts is the maximum number of attempts on the route.
	MaxAttempts int
	// Outcome and Reason describe how the attempt failed.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// MayRepeat is set if the route allows the request to run more than once.
	MayRepeat bool
	// Pinned is set if only one instance may run the request, because it remembers
	// the request's Idempotency-Key.
	Pinned bool
	// BodyAvailable is set if the whole body can be sent again.
	BodyAvailable bool
	// CallerGone is set if the caller has disconnected.
	CallerGone bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// Decision is the decision on a failed attempt.
type Decision uint8

// The decisions. All except Again end the request with the attempt's outcome.
const (
	// Again allows a further attempt on another instance.
	Again Decision = iota + 1
	// StopMayHaveRun ends a request that may have run and must not run twice.
	StopMayHaveRun
	// StopSameEverywhere ends a request that every instance would refuse.
	StopSameEverywhere
	// StopPinned ends a request that no other instance may run.
	StopPinned
	// StopAttempts ends a request that used all its attempts.
	StopAttempts
	// StopDeadline ends a request without time for another attempt.
	StopDeadline
	// StopBody ends a request whose body cannot be sent again.
	StopBody
	// StopCallerGone ends a request whose caller has disconnected.
	StopCallerGone
	// StopBudget ends a request because the retry budget of the service is empty.
	StopBudget
)

// String returns the decision for logs and metrics.
func (v Decision) String() string {
	names := [...]string{
		Again: "again", StopMayHaveRun: "may-have-run", StopSameEverywhere: "same-everywhere",
		StopPinned: "pinned", StopAttempts: "attempts", StopDeadline: "deadline",
		StopBody: "body", StopCallerGone: "caller-gone", StopBudget: "budget",
	}
	if int(v) >= len(names) || names[v] == "" {
		return "invalid"
	}
	return names[v]
}

// Decide returns what to do after a failed attempt. It does not use the retry budget:
// the caller withdraws from the budget only after Again.
func Decide(attempt Attempt) Decision {
	switch {
	case attempt.CallerGone:
		return StopCallerGone
	case attempt.Outcome != outcome.NotRun && !attempt.MayRepeat:
		return StopMayHaveRun
	case !dependsOnInstance(attempt.Reason):
		return StopSameEverywhere
	case attempt.Pinned && attempt.Reason != outcome.ReasonDraining:
		return StopPinned
	case attempt.Number >= attempt.MaxAttempts:
		return StopAttempts
	case attempt.Remaining < minRemaining:
		return StopDeadline
	case !attempt.BodyAvailable:
		return StopBody
	default:
		return Again
	}
}

// dependsOnInstance reports whether another instance may be able to run the request.
func dependsOnInstance(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonConnect, outcome.ReasonBroken, outcome.ReasonOverloaded, outcome.ReasonRouteLimit,
		outcome.ReasonDraining, outcome.ReasonNoInstance, outcome.ReasonWrongInstance,
		outcome.ReasonNoConfiguration:
		return true
	default:
		return false
	}
}
