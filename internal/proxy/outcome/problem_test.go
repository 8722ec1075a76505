package outcome_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// The headers and the document contain the same outcome, and ProblemFromResponse
// returns the problem that was written.
func TestWriteAndRead(t *testing.T) {
	for _, test := range []struct {
		reason     outcome.Reason
		status     int
		retryAfter time.Duration
	}{
		{outcome.ReasonNoConfiguration, http.StatusServiceUnavailable, time.Second},
		{outcome.ReasonNoRoute, http.StatusNotFound, 0},
		{outcome.ReasonOverloaded, http.StatusServiceUnavailable, 1500 * time.Millisecond},
		{outcome.ReasonDeadline, http.StatusGatewayTimeout, 0},
		{outcome.ReasonBroken, http.StatusBadGateway, 0},
		{outcome.ReasonRepeatConflict, http.StatusUnprocessableEntity, 0},
		{outcome.ReasonWrongInstance, http.StatusMisdirectedRequest, time.Second},
		{"unlisted", http.StatusInternalServerError, 0},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			c := qt.New(t)
			problem := outcome.NewProblem(test.reason, outcome.NotRun, "detail")
			problem.RetryAfter = test.retryAfter
			recorder := httptest.NewRecorder()
			problem.Write(recorder)
			response := recorder.Result()

			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(response.Header.Get("Content-Type"), qt.Equals, "application/problem+json")
			var document map[string]any
			c.Assert(json.NewDecoder(response.Body).Decode(&document), qt.IsNil)
			c.Check(document["outcome"], qt.Equals, "not-run")
			c.Check(document["reason"], qt.Equals, string(test.reason))
			c.Check(document["detail"], qt.Equals, "detail")

			read, ok := outcome.ProblemFromResponse(response)
			c.Assert(ok, qt.IsTrue)
			want := problem
			want.Detail = ""
			want.RetryAfter = (test.retryAfter + time.Second - 1).Truncate(time.Second)
			c.Check(read, qt.Equals, want)
		})
	}
}

func TestEachReasonHasAStatus(t *testing.T) {
	c := qt.New(t)
	for _, reason := range outcome.Reasons() {
		c.Check(outcome.NewProblem(reason, outcome.Unknown, "").Status, qt.Not(qt.Equals), http.StatusInternalServerError)
	}
}

func TestBackendResponsesAreNotProblems(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{"", "ran", "NOT-RUN"} {
		_, ok := outcome.ProblemFromResponse(&http.Response{Header: http.Header{outcome.HeaderOutcome: {value}}})
		c.Check(ok, qt.IsFalse)
	}
}

func TestStripInternal(t *testing.T) {
	c := qt.New(t)
	header := http.Header{
		outcome.HeaderLoad:           {"0"},
		"winchhead-outcome":          {"not-run"},
		"Winchhead-Future":           {"1"},
		"Winch":                      {"kept"},
		outcome.HeaderIdempotencyKey: {"kept"},
	}
	outcome.StripInternal(header)
	c.Check(header, qt.DeepEquals, http.Header{"Winch": {"kept"}, outcome.HeaderIdempotencyKey: {"kept"}})
}
