// Package retry decides whether a request may be sent again and keeps the retry
// budget of each service. Its decisions are pure: no input or output, no wall
// clock.
package retry

import (
	"time"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// minimumRemaining is the least time left for which a further attempt is made:
// below it the answer would come too late anyway.
const minimumRemaining = 2 * time.Millisecond

// Attempt is what is known after one send of a request failed without an answer
// of a back end.
type Attempt struct {
	// Number counts the sends of the request, the failed one included.
	Number int
	// MaxAttempts is the route's bound on Number.
	MaxAttempts int
	// Outcome and Reason tell how the attempt failed.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// MayRepeat tells whether the route lets the request run more than once.
	MayRepeat bool
	// Pinned tells that only one instance may run the request, as it remembers
	// the request's Idempotency-Key.
	Pinned bool
	// BodyAvailable tells whether the whole body can be sent again.
	BodyAvailable bool
	// CallerGone tells that nobody waits for the answer.
	CallerGone bool
	// Remaining is the time left for the request.
	Remaining time.Duration
}

// Verdict is the decision on a failed attempt.
type Verdict uint8

// The verdicts. All but Again end the request with the attempt's outcome.
const (
	// Again allows a further attempt on another instance.
	Again Verdict = iota + 1
	// StopMayHaveRun ends a request that may have run and may not run twice.
	StopMayHaveRun
	// StopSameEverywhere ends a request that every instance would refuse.
	StopSameEverywhere
	// StopPinned ends a request that no other instance may take.
	StopPinned
	// StopAttempts ends a request that used all its attempts.
	StopAttempts
	// StopDeadline ends a request without time for another attempt.
	StopDeadline
	// StopBody ends a request whose body is no longer at hand.
	StopBody
	// StopCallerGone ends a request nobody waits for.
	StopCallerGone
	// StopBudget ends a request because the retry budget of the service is empty.
	StopBudget
)

// String returns the verdict for logs and metrics.
func (v Verdict) String() string {
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

// Decide returns what to do after a failed attempt. The retry budget is not
// looked at: the caller takes from it only after Again.
func Decide(attempt Attempt) Verdict {
	switch {
	case attempt.CallerGone:
		return StopCallerGone
	case attempt.Outcome != outcome.NotRun && !attempt.MayRepeat:
		return StopMayHaveRun
	case !differsByInstance(attempt.Reason):
		return StopSameEverywhere
	case attempt.Pinned && attempt.Reason != outcome.ReasonDraining:
		return StopPinned
	case attempt.Number >= attempt.MaxAttempts:
		return StopAttempts
	case attempt.Remaining < minimumRemaining:
		return StopDeadline
	case !attempt.BodyAvailable:
		return StopBody
	default:
		return Again
	}
}

// differsByInstance reports whether another instance may do better.
func differsByInstance(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonConnect, outcome.ReasonBroken, outcome.ReasonOverloaded, outcome.ReasonRouteLimit,
		outcome.ReasonDraining, outcome.ReasonNoInstance, outcome.ReasonWrongInstance,
		outcome.ReasonNoConfiguration:
		return true
	default:
		return false
	}
}
