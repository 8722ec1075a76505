package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/retry"
	"pgregory.net/rapid"
)

func refusedAttempt() retry.Attempt {
	return retry.Attempt{
		Number: 1, MaxAttempts: 3, Outcome: outcome.NotRun, Reason: outcome.ReasonOverloaded,
		BodyAvailable: true, Remaining: time.Second,
	}
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		fault  string
		change func(*retry.Attempt)
		want   retry.Decision
	}{
		{"refused as not run", func(a *retry.Attempt) {}, retry.Again},
		{"connect failed", func(a *retry.Attempt) { a.Reason = outcome.ReasonConnect }, retry.Again},
		{"broken after sending", func(a *retry.Attempt) {
			a.Outcome, a.Reason = outcome.Unknown, outcome.ReasonBroken
		}, retry.StopMayHaveRun},
		{"broken after sending, repeatable", func(a *retry.Attempt) {
			a.Outcome, a.Reason, a.MayRepeat = outcome.Unknown, outcome.ReasonBroken, true
		}, retry.Again},
		{"no outcome at all", func(a *retry.Attempt) { a.Outcome = "" }, retry.StopMayHaveRun},
		{"attempts used up", func(a *retry.Attempt) { a.Number = 3 }, retry.StopAttempts},
		{"route without attempts", func(a *retry.Attempt) { a.MaxAttempts = 0 }, retry.StopAttempts},
		{"no time remaining", func(a *retry.Attempt) { a.Remaining = 0 }, retry.StopDeadline},
		{"deadline at the instance", func(a *retry.Attempt) { a.Reason = outcome.ReasonDeadline }, retry.StopSameEverywhere},
		{"malformed", func(a *retry.Attempt) { a.Reason = outcome.ReasonBadRequest }, retry.StopSameEverywhere},
		{"repeat in progress", func(a *retry.Attempt) { a.Reason = outcome.ReasonRepeatInProgress }, retry.StopSameEverywhere},
		{"body not available", func(a *retry.Attempt) { a.BodyAvailable = false }, retry.StopBody},
		{"caller gone", func(a *retry.Attempt) { a.CallerGone = true }, retry.StopCallerGone},
		{"overloaded, pinned by key", func(a *retry.Attempt) { a.Pinned = true }, retry.StopPinned},
		{"draining, pinned by key", func(a *retry.Attempt) {
			a.Pinned, a.Reason = true, outcome.ReasonDraining
		}, retry.Again},
	} {
		t.Run(test.fault, func(t *testing.T) {
			attempt := refusedAttempt()
			test.change(&attempt)
			qt.Assert(t, retry.Decide(attempt), qt.Equals, test.want)
		})
	}
}

// A request that may have run and must not run twice is never retried, and no request
// is sent more often than the route allows, whatever the other fields contain.
func TestDecideNeverRepeatsUnsafeRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := retry.Attempt{
			Number:        rapid.IntRange(1, 5).Draw(t, "number"),
			MaxAttempts:   rapid.IntRange(0, 5).Draw(t, "max"),
			Outcome:       rapid.SampledFrom([]outcome.Outcome{outcome.NotRun, outcome.Unknown, ""}).Draw(t, "outcome"),
			Reason:        rapid.SampledFrom(outcome.Reasons()).Draw(t, "reason"),
			MayRepeat:     rapid.Bool().Draw(t, "may repeat"),
			Pinned:        rapid.Bool().Draw(t, "pinned"),
			BodyAvailable: rapid.Bool().Draw(t, "body"),
			Remaining:     time.Duration(rapid.Int64Range(-1, 10).Draw(t, "remaining")) * time.Millisecond,
		}
		if retry.Decide(attempt) != retry.Again {
			return
		}
		if attempt.Outcome != outcome.NotRun && !attempt.MayRepeat {
			t.Fatalf("the request could run twice: %+v", attempt)
		}
		if attempt.Number >= attempt.MaxAttempts {
			t.Fatalf("too many attempts: %+v", attempt)
		}
	})
}

// The number of retries is bounded by the ratio times the requests plus the initial
// budget.
func TestBudget(t *testing.T) {
	for _, test := range []struct {
		ratio    float64
		requests int
		want     int
	}{
		{ratio: 0, requests: 1000, want: 0},
		{ratio: 0.125, requests: 0, want: 10},
		{ratio: 0.125, requests: 800, want: 110},
		{ratio: 1, requests: 100, want: 110},
	} {
		budget := retry.NewBudget(test.ratio)
		granted := 0
		drain := func() {
			for budget.Withdraw() {
				granted++
			}
		}
		drain()
		for range test.requests {
			budget.Deposit()
			drain()
		}
		qt.Assert(t, granted, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
