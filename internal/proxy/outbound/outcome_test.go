package outbound_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// attemptFailure is one way in which an attempt can fail.
type attemptFailure struct {
	name       string
	handler    http.HandlerFunc
	mayHaveRun bool
}

func attemptFailures() []attemptFailure {
	return []attemptFailure{
		{"connection lost after sending", respondAndClose(""), true},
		{"response is not HTTP", respondAndClose("nonsense\r\n\r\n"), true},
		{"backend lost", respondWithProblem(outcome.ReasonBroken, outcome.Unknown, true), true},
		{"deadline while running", respondWithProblem(outcome.ReasonDeadline, outcome.Unknown, true), true},
		{"overloaded", respondWithProblem(outcome.ReasonOverloaded, outcome.NotRun, true), false},
		{"draining", respondWithProblem(outcome.ReasonDraining, outcome.NotRun, true), false},
		{"wrong instance", respondWithProblem(outcome.ReasonWrongInstance, outcome.NotRun, true), false},
		{"backend unreachable", respondWithProblem(outcome.ReasonConnect, outcome.NotRun, true), false},
		{"deadline in the queue", respondWithProblem(outcome.ReasonDeadline, outcome.NotRun, true), false},
	}
}

// addScriptedInstances adds instances that handle the n-th attempt at path /scripted
// with the n-th entry of script, whichever instance gets it. Attempts beyond the script
// succeed. The returned function returns the number of attempts made.
func (r *harness) addScriptedInstances(instances int, script []attemptFailure) (made func() int) {
	var attempts atomic.Int32
	for i := range instances {
		r.addInstance(fmt.Sprint("instance-", i), func(w http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/scripted" {
				respondWithProblem(outcome.ReasonOverloaded, outcome.NotRun, true)(w, request)
				return
			}
			number := int(attempts.Add(1)) - 1
			if number < len(script) {
				script[number].handler(w, request)
				return
			}
			respond("done")(w, request)
		})
	}
	return func() int { return int(attempts.Load()) }
}

// checkOverallOutcome returns an error unless the outcome is "unknown" exactly if an
// attempt may have run.
func checkOverallOutcome(response *http.Response, made []attemptFailure) error {
	problem, fromProxy := outcome.ProblemFromResponse(response)
	if !fromProxy {
		return fmt.Errorf("the response with status %d was not made by a proxy", response.StatusCode)
	}
	mayHaveRun := false
	for _, attempt := range made {
		mayHaveRun = mayHaveRun || attempt.mayHaveRun
	}
	if unknown := problem.Outcome == outcome.Unknown; unknown != mayHaveRun {
		return fmt.Errorf("outcome %q, reason %q; an attempt may have run: %v", problem.Outcome, problem.Reason, mayHaveRun)
	}
	if mayHaveRun && problem.RetryAfter > 0 {
		return fmt.Errorf("the response has Retry-After though the request may have run")
	}
	return nil
}

// The overall outcome is "unknown" if any attempt may have run. Covers each pair of
// failures and each way in which a request ends without a response.
func TestOutcomeOfAllAttempts(t *testing.T) {
	endings := []struct {
		name      string
		instances int
		attempts  int // of the route
		body      func() io.Reader
		prepare   func(*harness)
	}{
		{"attempts used up", 3, 2, nil, func(*harness) {}},
		{"no instance left", 2, 5, nil, func(*harness) {}},
		{"retry budget empty", 3, 5, nil, func(r *harness) {
			r.emptyRetryBudget(1)
		}},
		{"body cannot be sent again", 3, 5, longBody, func(*harness) {}},
	}
	for _, ending := range endings {
		for _, first := range attemptFailures() {
			for _, second := range attemptFailures() {
				t.Run(fmt.Sprintf("%s/%s/%s", ending.name, first.name, second.name), func(t *testing.T) {
					r := newHarness(t)
					r.configure(func(route *snapshot.Route) { route.MaxAttempts = ending.attempts })
					script := []attemptFailure{first, second}
					made := r.addScriptedInstances(ending.instances, script)
					ending.prepare(r)
					var body io.Reader
					if ending.body != nil {
						body = ending.body()
					}
					response, _ := r.do(r.request("PUT", "/scripted", body))
					r.Assert(made() <= len(script), qt.IsTrue, qt.Commentf("%d attempts", made()))
					r.Check(checkOverallOutcome(response, script[:made()]), qt.IsNil)
				})
			}
		}
	}
}

// emptyRetryBudget uses up the retry budget of the service except for left retries.
func (r *harness) emptyRetryBudget(left int) {
	const capacity = 10 // retries in a full budget
	for range capacity - left {
		request := r.request("GET", "/other", nil)
		response, _ := r.do(request)
		r.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}

// For any sequence of failed attempts, the outcome is "not-run" only if none of them
// may have run.
func TestOutcomeOfRandomAttempts(t *testing.T) {
	known := attemptFailures()
	rapid.Check(t, func(sequence *rapid.T) {
		picked := rapid.SliceOfN(rapid.IntRange(0, len(known)-1), 1, 4).Draw(sequence, "attempts")
		script := make([]attemptFailure, 0, len(picked))
		names := make([]string, 0, len(picked))
		for _, index := range picked {
			script = append(script, known[index])
			names = append(names, known[index].name)
		}
		var problem error
		t.Run(strings.Join(names, ","), func(t *testing.T) {
			r := newHarness(t)
			r.configure(func(route *snapshot.Route) { route.MaxAttempts = len(script) })
			made := r.addScriptedInstances(len(script), script)
			response, _ := r.do(r.request("GET", "/scripted", nil))
			problem = checkOverallOutcome(response, script[:made()])
		})
		if problem != nil {
			sequence.Fatalf("%v: %v", names, problem)
		}
	})
}
