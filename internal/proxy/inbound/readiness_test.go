package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/report"
)

// step is one event at a number of seconds since the start.
type step struct {
	at    int
	event func(r *readiness, now time.Time)
}

func says(status report.Status) func(*readiness, time.Time) {
	return func(r *readiness, now time.Time) { r.reported(status, now) }
}

func answers(draining bool) func(*readiness, time.Time) {
	return func(r *readiness, now time.Time) { r.answered(draining, now) }
}

func refuses(r *readiness, _ time.Time) { r.connectionRefused() }

func isSilent(r *readiness, now time.Time) { r.unreported(now) }

func connects(r *readiness, now time.Time) { r.connected(now) }

// TestReadiness is the table of what reports and observations make of the state.
func TestReadiness(t *testing.T) {
	const starting, ready, draining = membership.StateStarting, membership.StateReady, membership.StateDraining
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name     string
		noHealth bool
		steps    []step
		state    membership.State
		doubted  bool
	}{
		{"nothing known", false, nil, starting, false},
		{"cold start", false, []step{{0, says(report.StatusStarting)}, {29, says(report.StatusStarting)}}, starting, true},
		{"ready report", false, []step{{0, says(report.StatusStarting)}, {1, says(report.StatusReady)}}, ready, false},
		{"connection without a health endpoint", true, []step{{0, connects}}, ready, false},
		{"connection with one", false, []step{{0, connects}}, starting, false},
		{"health lies failing from the start: tried in the end", false,
			[]step{{0, says(report.StatusFailing)}, {30, says(report.StatusFailing)}}, ready, true},
		{"health never answers from the start", false, []step{{0, connects}, {30, isSilent}}, ready, true},
		{"bad report of a ready one", false, []step{{0, says(report.StatusReady)}, {1, says(report.StatusFailing)}}, ready, true},
		{"silent health of a ready one", false, []step{{0, says(report.StatusReady)}, {1, isSilent}}, ready, true},
		{"bad report against answered requests", false,
			[]step{{0, says(report.StatusReady)}, {1, says(report.StatusFailing)}, {2, answers(false)}}, ready, false},
		{"bad report after the last answer", false,
			[]step{{0, says(report.StatusReady)}, {1, answers(false)}, {11, says(report.StatusFailing)}}, ready, true},
		{"one refused connection", false, []step{{0, says(report.StatusReady)}, {1, refuses}, {1, refuses}}, ready, false},
		{"refused with a success between", false,
			[]step{{0, says(report.StatusReady)}, {1, refuses}, {1, refuses}, {1, answers(false)}, {1, refuses}}, ready, false},
		{"down", false, []step{{0, says(report.StatusReady)}, {1, refuses}, {1, refuses}, {1, refuses}}, starting, false},
		{"down, then restarted", false,
			[]step{{0, says(report.StatusReady)}, {1, refuses}, {1, refuses}, {1, refuses}, {2, says(report.StatusReady)}}, ready, false},
		{"drain by report", false, []step{{0, says(report.StatusReady)}, {1, says(report.StatusDraining)}}, draining, false},
		{"drain by answer", false, []step{{0, says(report.StatusReady)}, {1, answers(true)}}, draining, false},
		{"drain by answer, health lags", false, []step{{0, says(report.StatusReady)}, {1, answers(true)},
			{2, says(report.StatusReady)}, {3, says(report.StatusReady)}, {4, answers(false)}}, draining, false},
		{"drain shown by health, one ready report", false,
			[]step{{0, says(report.StatusDraining)}, {1, says(report.StatusReady)}}, draining, false},
		{"drain shown by health and taken back", false,
			[]step{{0, answers(true)}, {1, says(report.StatusDraining)}, {2, says(report.StatusReady)}, {3, says(report.StatusReady)}}, ready, false},
		{"drain by answer, restarted before health showed it", false, []step{{0, says(report.StatusReady)}, {1, answers(true)},
			{2, says(report.StatusReady)}, {30, says(report.StatusReady)}}, draining, false},
		{"drain by answer, restarted long ago", false, []step{{0, says(report.StatusReady)}, {1, answers(true)},
			{2, says(report.StatusReady)}, {31, says(report.StatusReady)}}, ready, false},
		{"drain by answer, announced again since", false, []step{{0, says(report.StatusReady)}, {1, answers(true)},
			{2, says(report.StatusReady)}, {20, answers(true)}, {31, says(report.StatusReady)}}, draining, false},
		{"drained, ended and restarted", false, []step{{0, answers(true)}, {1, refuses}, {1, refuses}, {1, refuses},
			{2, says(report.StatusReady)}}, ready, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newReadiness(!test.noHealth)
			now := begin
			for _, step := range test.steps {
				now = begin.Add(time.Duration(step.at) * time.Second)
				step.event(r, now)
			}
			c.Check(r.state, qt.Equals, test.state)
			c.Check(r.doubted(now), qt.Equals, test.doubted)
		})
	}
}

// TestArrival bounds when a request that is read now arrived.
func TestArrival(t *testing.T) {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(millis int) time.Time { return begin.Add(time.Duration(millis) * time.Millisecond) }
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
				detector.start(begin)
			}
			for _, tick := range test.ticks {
				detector.tick(at(tick))
			}
			c.Check(detector.arrival(at(test.read)), qt.Equals, at(test.arrived))
		})
	}
}
