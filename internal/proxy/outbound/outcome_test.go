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

// attemptEnding is how the inbound proxy of an instance ends one attempt.
type attemptEnding struct {
	name       string
	handler    http.HandlerFunc
	mayHaveRun bool
}

func attemptEndings() []attemptEnding {
	return []attemptEnding{
		{"connection lost after sending", breakOff(""), true},
		{"no HTTP answer", breakOff("nonsense\r\n\r\n"), true},
		{"back end lost", refuse(outcome.ReasonBroken, outcome.Unknown, true), true},
		{"deadline while running", refuse(outcome.ReasonDeadline, outcome.Unknown, true), true},
		{"overloaded", refuse(outcome.ReasonOverloaded, outcome.NotRun, true), false},
		{"draining", refuse(outcome.ReasonDraining, outcome.NotRun, true), false},
		{"wrong instance", refuse(outcome.ReasonWrongInstance, outcome.NotRun, true), false},
		{"back end unreachable", refuse(outcome.ReasonConnect, outcome.NotRun, true), false},
		{"deadline in the queue", refuse(outcome.ReasonDeadline, outcome.NotRun, true), false},
	}
}

// scripted makes the n-th attempt of the request at path /scripted end as the
// script says, whichever instance gets it. Attempts beyond the script are answered.
func (r *rig) scripted(instances int, script []attemptEnding) (made func() int) {
	var attempts atomic.Int32
	for i := range instances {
		r.instance(fmt.Sprint("instance-", i), func(w http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/scripted" {
				refuse(outcome.ReasonOverloaded, outcome.NotRun, true)(w, request)
				return
			}
			number := int(attempts.Add(1)) - 1
			if number < len(script) {
				script[number].handler(w, request)
				return
			}
			answer("done")(w, request)
		})
	}
	return func() int { return int(attempts.Load()) }
}

// checkCautious fails when the answer says "not run" though an attempt may have run.
func checkCautious(response *http.Response, made []attemptEnding) error {
	problem, bySystem := outcome.FromResponse(response)
	if !bySystem {
		return fmt.Errorf("status %d was not made by the system", response.StatusCode)
	}
	mayHaveRun := false
	for _, attempt := range made {
		mayHaveRun = mayHaveRun || attempt.mayHaveRun
	}
	if told := problem.Outcome == outcome.Unknown; told != mayHaveRun {
		return fmt.Errorf("outcome %q, reason %q; an attempt may have run: %v", problem.Outcome, problem.Reason, mayHaveRun)
	}
	if mayHaveRun && problem.RetryAfter > 0 {
		return fmt.Errorf("asks the caller to send a request again that may have run")
	}
	return nil
}

// The final outcome is the most cautious of all attempts: each pair of attempts,
// and each way in which a request ends without an answer.
func TestOutcomeOfAllAttempts(t *testing.T) {
	endings := []struct {
		name      string
		instances int
		attempts  int // of the route
		body      func() io.Reader
		prepare   func(*rig)
	}{
		{"attempts used up", 3, 2, nil, func(*rig) {}},
		{"no instance left", 2, 5, nil, func(*rig) {}},
		{"retry budget empty", 3, 5, nil, func(r *rig) {
			r.emptyRetryBudget(1)
		}},
		{"body cannot be sent again", 3, 5, longBody, func(*rig) {}},
	}
	for _, ending := range endings {
		for _, first := range attemptEndings() {
			for _, second := range attemptEndings() {
				t.Run(fmt.Sprintf("%s/%s/%s", ending.name, first.name, second.name), func(t *testing.T) {
					r := newRig(t)
					r.configure(func(route *snapshot.Route) { route.MaxAttempts = ending.attempts })
					script := []attemptEnding{first, second}
					made := r.scripted(ending.instances, script)
					ending.prepare(r)
					var body io.Reader
					if ending.body != nil {
						body = ending.body()
					}
					response, _ := r.do(r.request("PUT", "/scripted", body))
					r.Assert(made() <= len(script), qt.IsTrue, qt.Commentf("%d attempts", made()))
					r.Check(checkCautious(response, script[:made()]), qt.IsNil)
				})
			}
		}
	}
}

// emptyRetryBudget uses the retries of the service up but for those left.
func (r *rig) emptyRetryBudget(left int) {
	const capacity = 10 // of a budget that is full
	for range capacity - left {
		request := r.request("GET", "/other", nil)
		response, _ := r.do(request)
		r.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}

// Over any sequence of attempts "not run" is said only when each attempt proved it.
func TestOutcomeOfRandomAttempts(t *testing.T) {
	known := attemptEndings()
	rapid.Check(t, func(sequence *rapid.T) {
		picked := rapid.SliceOfN(rapid.IntRange(0, len(known)-1), 1, 4).Draw(sequence, "attempts")
		script := make([]attemptEnding, 0, len(picked))
		names := make([]string, 0, len(picked))
		for _, index := range picked {
			script = append(script, known[index])
			names = append(names, known[index].name)
		}
		var problem error
		t.Run(strings.Join(names, ","), func(t *testing.T) {
			r := newRig(t)
			r.configure(func(route *snapshot.Route) { route.MaxAttempts = len(script) })
			made := r.scripted(len(script), script)
			response, _ := r.do(r.request("GET", "/scripted", nil))
			problem = checkCautious(response, script[:made()])
		})
		if problem != nil {
			sequence.Fatalf("%v: %v", names, problem)
		}
	})
}
