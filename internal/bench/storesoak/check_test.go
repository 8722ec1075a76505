package storesoak

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// at returns the time of the checked soaks that is so many seconds after their start.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// newTestSoak returns a soak with one machine for each service; the test sets calls and faults.
func newTestSoak() *soak {
	f := &fleet{catalog: newCatalog(), nested: newNestedCalls()}
	for number, service := range []string{serviceFront, serviceRead, serviceWrite} {
		f.machines = append(f.machines, &machine{number: number, service: service})
	}
	return &soak{fleet: f, history: history{lastFaultEnded: at(1000)}}
}

func answered(c *call, status int) *call {
	c.status, c.responseBody, c.stamp = status, instance.Body(c.id), "i-1"
	return c
}

// TestCheckCall checks that each violation of a guarantee for one call is reported, and that
// allowed results are not.
func TestCheckCall(t *testing.T) {
	write := func() *call {
		return &call{id: "c", kind: kindWrite, sent: at(20), ended: at(20.1), requestWritten: true}
	}
	ran := run{Run: instance.Run{ID: "c"}, name: "i-1"}
	rows := map[string]struct {
		call  *call
		runs  []run
		spans []*faultSpan
		want  Report
	}{
		"served":                      {call: answered(write(), 200), runs: []run{ran}},
		"ran twice":                   {call: answered(write(), 200), runs: []run{ran, ran}, want: Report{RanTwice: 1}},
		"refused, did not run":        {call: &call{id: "c", kind: kindWrite, status: 503, retryAfter: "0.1", sent: at(20), ended: at(20)}},
		"refused without Retry-After": {call: &call{id: "c", kind: kindWrite, status: 503, sent: at(20), ended: at(20)}, want: Report{NoRetryAfter: 1}},
		"refused and ran":             {call: &call{id: "c", kind: kindWrite, status: 503, retryAfter: "0.1", sent: at(20), ended: at(20)}, runs: []run{ran}, want: Report{RanRefused: 1}},
		"a safe call ran twice": {
			call: answered(&call{id: "c", kind: kindRead, sent: at(20), ended: at(20)}, 200), runs: []run{ran, ran},
		},
		"a truncated response":           {call: &call{id: "c", kind: kindRead, status: 200, responseBody: "answer", stamp: "i-1", sent: at(20), ended: at(20)}, runs: []run{ran}, want: Report{Wrong: 1}},
		"a response without a run":       {call: answered(write(), 200), want: Report{Wrong: 1}},
		"unknown outcome":                {call: &call{id: "c", kind: kindWrite, status: 502, sent: at(20), ended: at(20)}, runs: []run{ran}},
		"late":                           {call: answered(&call{id: "c", kind: kindWrite, sent: at(20), ended: at(22.6)}, 200), runs: []run{ran}, want: Report{LateAnswers: 1}},
		"late during a fault":            {call: answered(&call{id: "c", kind: kindWrite, sent: at(20), ended: at(22.6)}, 200), runs: []run{ran}, spans: []*faultSpan{{from: at(21), to: at(22)}}},
		"cut off by planned maintenance": {call: write(), runs: []run{ran}, spans: []*faultSpan{{fault: fault{planned: true, machines: []int{0}}, from: at(19)}}, want: Report{Lost: 1}},
		"cut off by a kill":              {call: write(), runs: []run{ran}, spans: []*faultSpan{{fault: fault{machines: []int{0}}, from: at(19)}}},
		"cut off by both":                {call: write(), runs: []run{ran}, spans: []*faultSpan{{fault: fault{planned: true, machines: []int{0}}, from: at(19)}, {fault: fault{machines: []int{1}}, from: at(18), to: at(18.5)}}},
		"cut off without a run":          {call: write(), spans: []*faultSpan{{fault: fault{planned: true, machines: []int{0}}, from: at(19)}}},
		"cut off during maintenance of another machine": {call: write(), runs: []run{ran}, spans: []*faultSpan{{fault: fault{planned: true, machines: []int{2}}, from: at(19)}}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestSoak()
			s.history.spans = row.spans
			s.checkCall(row.call, row.runs)
			found := len(s.report.Violations) > 0
			s.report.Violations = nil
			c.Check(s.report, qt.DeepEquals, row.want)
			c.Check(found, qt.Equals, s.report.RanTwice+s.report.RanRefused+s.report.Wrong+s.report.NoRetryAfter+s.report.Lost+s.report.LateAnswers > 0)
		})
	}
}

// TestMatchesCall checks that a run matches its call only with the same request, caller and
// service, and only at the instance that it was addressed to.
func TestMatchesCall(t *testing.T) {
	sent := &call{id: "c", kind: kindRead, path: "/read/c"}
	proper := instance.Run{ID: "c", Method: http.MethodGet, Target: "/read/c", Caller: serviceFront, Expected: "i-1"}
	rows := map[string]struct {
		change func(r *run)
		want   bool
	}{
		"as it was sent":                {func(*run) {}, true},
		"other path":                    {func(r *run) { r.Target = "/read/d" }, false},
		"other body":                    {func(r *run) { r.Body = "x" }, false},
		"other method":                  {func(r *run) { r.Method = http.MethodPost }, false},
		"forged caller":                 {func(r *run) { r.Caller = "forged" }, false},
		"addressed to another instance": {func(r *run) { r.Expected = "i-2" }, false},
		"at another service":            {func(r *run) { r.machine = &machine{service: serviceWrite} }, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestSoak()
			found := run{Run: proper, machine: s.fleet.machines[1], name: "i-1"}
			row.change(&found)
			qt.Check(t, found.matchesCall(sent, s.fleet), qt.Equals, row.want)
		})
	}
}
