package inbound

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
	"github.com/winchhead/winchhead/internal/proxy/report"
	"github.com/winchhead/winchhead/internal/settings"
)

func withReports() settings.Inbound {
	set := plainSettings()
	set.HealthPath, set.LoadPath = backend.PathHealth, backend.PathLoad
	return set
}

// TestStateFollowsBackend checks the published state when the backend drains, fails
// and comes back.
func TestStateFollowsBackend(t *testing.T) {
	for _, test := range []struct {
		name     string
		settings settings.Inbound
		behavior backend.Behavior
		act      func(r *rig)
		state    membership.State
	}{
		{"ready report", withReports(), backend.Behavior{}, func(*rig) {}, membership.StateReady},
		{"accepts connections, no health endpoint", plainSettings(), backend.Behavior{}, func(*rig) {}, membership.StateReady},
		{"drain shown by health", withReports(), backend.Behavior{},
			func(r *rig) { r.backend.Drain() }, membership.StateDraining},
		{"drain announced on a response, health reports ready", withReports(), backend.Behavior{Health: backend.HealthReady},
			func(r *rig) { r.backend.Drain(); r.send() }, membership.StateDraining},
		{"drain announced on a response, no health endpoint", plainSettings(), backend.Behavior{},
			func(r *rig) { r.backend.Drain(); r.send() }, membership.StateDraining},
		{"backend fails, no health endpoint", plainSettings(), backend.Behavior{},
			func(r *rig) { r.backend.Kill() }, membership.StateStarting},
		{"backend fails", withReports(), backend.Behavior{}, func(r *rig) { r.backend.Kill() }, membership.StateStarting},
		{"backend fails and comes back", withReports(), backend.Behavior{}, func(r *rig) {
			address := r.backend.Address()
			r.backend.Kill()
			r.awaitState(membership.StateStarting)
			r.Assert(r.backend.Start(address), qt.IsNil)
		}, membership.StateReady},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, backend.Options{Slots: 20, Behavior: test.behavior}, test.settings)
			r.run()
			r.awaitState(membership.StateReady)
			if test.state == membership.StateReady {
				r.states <- membership.StateReady // the state does not change in these cases
			}
			test.act(r)
			r.awaitState(test.state)
			got := r.do(r.request(t.Context(), http.MethodGet, backend.PathEcho, "", outcome.HeaderTarget, "other/1"))
			if test.state == membership.StateReady {
				r.eventually(func() bool { return r.proxy.readiness.state() == membership.StateReady })
			} else {
				r.Check(got.Header.Get(outcome.HeaderState), qt.Equals, test.state.String())
			}
			r.Check(got.Header.Get(report.HeaderDraining), qt.Equals, "")
		})
	}
}

// A health endpoint that reports "failing" for a backend that works must not take the
// instance out of service. Senders are told to prefer other instances only until a
// request is answered.
func TestFailingHealthReportKeepsWorkingInstanceReady(t *testing.T) {
	r := newRig(t, backend.Options{Slots: 20}, withReports())
	r.run()
	r.awaitState(membership.StateReady)
	r.backend.Configure(backend.Behavior{Health: backend.HealthFailing})
	r.eventually(func() bool { return r.proxy.load() == 1 })
	got := r.send()
	r.Check(got.StatusCode, qt.Equals, 200)
	r.Check(got.Header.Get(outcome.HeaderState), qt.Equals, "")
	r.Check(got.Header.Get(outcome.HeaderLoad), qt.Not(qt.Equals), "1.000")
	r.Check(r.states, qt.HasLen, 0)
}

// TestDrainCutsNothing drains a node with a request and a session in progress.
func TestDrainCutsNothing(t *testing.T) {
	r := newRig(t, backend.Options{}, plainSettings())
	session := r.upgrade()
	r.checkEcho(session, "before")
	held := make(chan clientResponse, 1)
	request := r.request(t.Context(), http.MethodPost, backend.PathEcho, "a booking", backend.HeaderWork, "3000")
	go func() { held <- r.do(request) }()
	r.eventually(func() bool { return r.backend.Statistics().InFlightNow == 1 })
	drained := make(chan error, 1)
	go func() { drained <- r.proxy.Drain(t.Context()) }()
	r.awaitState(membership.StateDraining)
	taken := r.send() // accepted: the fleet may not know of the drain yet
	r.Check(taken.StatusCode, qt.Equals, 200)
	r.Check(taken.Header.Get(outcome.HeaderState), qt.Equals, "draining")
	r.Check(taken.Close, qt.IsTrue)
	r.eventually(r.proxy.refusing.Load)
	r.checkProblem(r.send(), 503, outcome.NotRun, outcome.ReasonDraining)
	got := <-held
	r.Assert(got.err, qt.IsNil)
	r.Check(got.body, qt.Equals, "a booking")
	r.checkEcho(session, "after")
	r.Check(drained, qt.HasLen, 0)
	r.Assert(session.Close(), qt.IsNil)
	r.Check(<-drained, qt.IsNil)
}

func TestDrainReportsRemainingWork(t *testing.T) {
	set := plainSettings()
	set.DrainGrace = time.Nanosecond
	r := newRig(t, backend.Options{}, set)
	r.checkEcho(r.upgrade(), "open")
	r.Check(r.proxy.Drain(t.Context()), qt.ErrorMatches, ".*1 requests and sessions still in progress.*")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r.Check(r.proxy.Drain(ctx), qt.ErrorMatches, "inbound proxy: drain: context canceled")
	r.checkProblem(r.send(), 503, outcome.NotRun, outcome.ReasonDraining)
}
