package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

// step is one event at a time in seconds since the start.
type step struct {
	at    int
	event func(r *readiness, now time.Time)
}

func healthReport(status report.Status) func(*readiness, time.Time) {
	return func(r *readiness, now time.Time) { r.observeReport(status, now) }
}

func response(draining bool) func(*readiness, time.Time) {
	return func(r *readiness, now time.Time) { r.observeResponse(draining, now) }
}

func refusedConnection(r *readiness, _ time.Time) { r.observeRefusal() }

func missingReport(r *readiness, now time.Time) { r.observeMissingReport(now) }

func acceptedConnection(r *readiness, now time.Time) { r.observeConnection(now) }

// TestReadiness checks the state that results from reports and observations.
func TestReadiness(t *testing.T) {
	const starting, ready, draining = membership.StateStarting, membership.StateReady, membership.StateDraining
	startTime := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name     string
		noHealth bool
		steps    []step
		state    membership.State
		degraded bool
	}{
		{"nothing known", false, nil, starting, false},
		{"cold start", false, []step{{0, healthReport(report.StatusStarting)}, {29, healthReport(report.StatusStarting)}}, starting, true},
		{"ready report", false, []step{{0, healthReport(report.StatusStarting)}, {1, healthReport(report.StatusReady)}}, ready, false},
		{"connection without a health endpoint", true, []step{{0, acceptedConnection}}, ready, false},
		{"connection with a health endpoint", false, []step{{0, acceptedConnection}}, starting, false},
		{"health failing from the start: gets requests after the trial delay", false,
			[]step{{0, healthReport(report.StatusFailing)}, {30, healthReport(report.StatusFailing)}}, ready, true},
		{"health never answers from the start", false, []step{{0, acceptedConnection}, {30, missingReport}}, ready, true},
		{"bad report of a ready backend", false, []step{{0, healthReport(report.StatusReady)}, {1, healthReport(report.StatusFailing)}}, ready, true},
		{"missing report of a ready backend", false, []step{{0, healthReport(report.StatusReady)}, {1, missingReport}}, ready, true},
		{"bad report, but a request was answered", false,
			[]step{{0, healthReport(report.StatusReady)}, {1, healthReport(report.StatusFailing)}, {2, response(false)}}, ready, false},
		{"bad report long after the last response", false,
			[]step{{0, healthReport(report.StatusReady)}, {1, response(false)}, {11, healthReport(report.StatusFailing)}}, ready, true},
		{"one refused connection", false, []step{{0, healthReport(report.StatusReady)}, {1, refusedConnection}, {1, refusedConnection}}, ready, false},
		{"refusals with a success in between", false,
			[]step{{0, healthReport(report.StatusReady)}, {1, refusedConnection}, {1, refusedConnection}, {1, response(false)}, {1, refusedConnection}}, ready, false},
		{"down", false, []step{{0, healthReport(report.StatusReady)}, {1, refusedConnection}, {1, refusedConnection}, {1, refusedConnection}}, starting, false},
		{"down, then restarted", false,
			[]step{{0, healthReport(report.StatusReady)}, {1, refusedConnection}, {1, refusedConnection}, {1, refusedConnection}, {2, healthReport(report.StatusReady)}}, ready, false},
		{"drain by report", false, []step{{0, healthReport(report.StatusReady)}, {1, healthReport(report.StatusDraining)}}, draining, false},
		{"drain by response", false, []step{{0, healthReport(report.StatusReady)}, {1, response(true)}}, draining, false},
		{"drain by response, health reports late", false, []step{{0, healthReport(report.StatusReady)}, {1, response(true)},
			{2, healthReport(report.StatusReady)}, {3, healthReport(report.StatusReady)}, {4, response(false)}}, draining, false},
		{"drain shown by health, one ready report", false,
			[]step{{0, healthReport(report.StatusDraining)}, {1, healthReport(report.StatusReady)}}, draining, false},
		{"drain shown by health and ended", false,
			[]step{{0, response(true)}, {1, healthReport(report.StatusDraining)}, {2, healthReport(report.StatusReady)}, {3, healthReport(report.StatusReady)}}, ready, false},
		{"drain by response, restarted before health showed it", false, []step{{0, healthReport(report.StatusReady)}, {1, response(true)},
			{2, healthReport(report.StatusReady)}, {30, healthReport(report.StatusReady)}}, draining, false},
		{"drain by response, restarted long ago", false, []step{{0, healthReport(report.StatusReady)}, {1, response(true)},
			{2, healthReport(report.StatusReady)}, {31, healthReport(report.StatusReady)}}, ready, false},
		{"drain by response, announced again", false, []step{{0, healthReport(report.StatusReady)}, {1, response(true)},
			{2, healthReport(report.StatusReady)}, {20, response(true)}, {31, healthReport(report.StatusReady)}}, draining, false},
		{"drained, stopped and restarted", false, []step{{0, response(true)}, {1, refusedConnection}, {1, refusedConnection}, {1, refusedConnection},
			{2, healthReport(report.StatusReady)}}, ready, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newReadiness(!test.noHealth)
			now := startTime
			for _, step := range test.steps {
				now = startTime.Add(time.Duration(step.at) * time.Second)
				step.event(r, now)
			}
			c.Check(r.state, qt.Equals, test.state)
			c.Check(r.degraded(now), qt.Equals, test.degraded)
		})
	}
}

// TestArrival checks the earliest arrival time of a request that is read now.
func TestArrival(t *testing.T) {
	startTime := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(millis int) time.Time { return startTime.Add(time.Duration(millis) * time.Millisecond) }
	for _, test := range []struct {
		name    string
		started bool
		ticks   []int // milliseconds
		read    int
		arrived int
	}{
		{"detector off", false, nil, 60_000, 60_000},
		{"running", true, []int{50, 100}, 140, 140},
		{"read before the first tick after a pause", true, []int{50}, 5050, 50},
		{"read after the first tick after a pause", true, []int{50, 5050}, 5100, 50},
		{"read well after a pause", true, []int{50, 5050, 5100, 5150, 5200}, 5250, 5250},
		{"paused twice", true, []int{50, 5050, 5100, 9000}, 9001, 5100},
		{"a late tick is no pause", true, []int{50, 290}, 300, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var detector pauseDetector
			if test.started {
				detector.start(startTime)
			}
			for _, tick := range test.ticks {
				detector.tick(at(tick))
			}
			c.Check(detector.arrival(at(test.read)), qt.Equals, at(test.arrived))
		})
	}
}
