package inbound

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// TestRepeatsRunOnce sends a request and a repeat of it with the same key.
func TestRepeatsRunOnce(t *testing.T) {
	large := []string{backend.HeaderAnswerBytes, strconv.Itoa(100_000)}
	for _, test := range []struct {
		name         string
		method, body string // of the repeat
		first        []string
		between      func(r *rig)
		status       int // of the repeat
		outcome      outcome.Outcome
		reason       outcome.Reason
		started      int
	}{
		{"gets the first response", "POST", "a booking", nil, nil, 200, "", "", 1},
		{"gets the first error response", "POST", "a booking", []string{backend.HeaderStatus, "500"}, nil, 500, "", "", 1},
		{"first response too large to keep", "POST", "a booking", large, nil, 409, outcome.Unknown, outcome.ReasonRepeatDone, 1},
		{"different body", "POST", "another booking", nil, nil, 422, outcome.NotRun, outcome.ReasonRepeatConflict, 1},
		{"different method", "DELETE", "a booking", nil, nil, 422, outcome.NotRun, outcome.ReasonRepeatConflict, 1},
		{"first was refused", "POST", "a booking", []string{outcome.HeaderRemaining, "0"}, nil, 200, "", "", 1},
		{"first was shed", "POST", "a booking", nil,
			func(r *rig) { r.backend.Configure(backend.Behavior{}) }, 200, "", "", 1},
		{"connection broke before the first response", "POST", "a booking", fault(backend.FaultResetAfterRead), nil, 409, outcome.Unknown, outcome.ReasonRepeatLost, 1},
		{"first response was cut", "POST", "a booking", fault(backend.FaultCloseMidAnswer), nil, 409, outcome.Unknown, outcome.ReasonRepeatLost, 1},
		{"route allows the method to repeat", "PUT", "a booking", nil, nil, 200, "", "", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, backend.Options{Behavior: backend.Behavior{Shed: test.between != nil}}, plainSettings())
			sendWithKey := func(method, body string, pairs []string) clientResponse {
				return r.do(r.request(t.Context(), method, backend.PathEcho, body,
					append([]string{outcome.HeaderIdempotencyKey, "k"}, pairs...)...))
			}
			method := http.MethodPost
			if test.method == http.MethodPut {
				method = http.MethodPut
			}
			first := sendWithKey(method, "a booking", test.first)
			if test.between != nil {
				test.between(r)
			}
			again := sendWithKey(test.method, test.body, nil)
			if test.outcome != "" {
				r.checkProblem(again, test.status, test.outcome, test.reason)
			} else {
				r.Assert(again.err, qt.IsNil)
				r.Check(again.StatusCode, qt.Equals, test.status)
				r.Check(again.body, qt.Equals, "a booking")
				r.Check(again.Header.Get(outcome.HeaderLoad), qt.Not(qt.Equals), "")
			}
			if test.status == 200 && first.err == nil && first.StatusCode == 200 {
				r.Check(again.Header.Get(backend.HeaderChecksum), qt.Equals, first.Header.Get(backend.HeaderChecksum))
			}
			r.Check(r.backend.Journal().Key("k").Started, qt.Equals, test.started)
		})
	}
}

// The sender disconnects while its request runs. The request must run to its end,
// once, and a repeat must get its response.
func TestRepeatGetsResponseAfterSenderLeft(t *testing.T) {
	r := newRig(t, backend.Options{}, plainSettings())
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan clientResponse, 1)
	request := r.request(ctx, http.MethodPost, backend.PathEcho, "a booking",
		outcome.HeaderIdempotencyKey, "k", backend.HeaderWork, "300")
	go func() { left <- r.do(request) }()
	r.eventually(func() bool { return r.backend.Journal().Key("k").Started == 1 })
	cancel()
	r.Check((<-left).err, qt.Not(qt.IsNil))
	again := r.do(r.request(t.Context(), http.MethodPost, backend.PathEcho, "a booking", outcome.HeaderIdempotencyKey, "k"))
	r.Assert(again.err, qt.IsNil)
	r.Check(again.body, qt.Equals, "a booking")
	r.Check(r.backend.Journal().Key("k"), qt.Equals, backend.Runs{Started: 1, Finished: 1})
}

// The deadline of a repeat passes while the first request still runs.
func TestRepeatWhileTheFirstRuns(t *testing.T) {
	r := newRig(t, backend.Options{}, plainSettings())
	held := make(chan clientResponse, 1)
	ctx, cancel := context.WithCancel(t.Context())
	request := r.request(ctx, http.MethodPost, backend.PathEcho, "a booking", outcome.HeaderIdempotencyKey, "k",
		backend.HeaderFault, string(backend.FaultStall), outcome.HeaderRemaining, "1000")
	go func() { held <- r.do(request) }()
	r.eventually(func() bool { return r.backend.Journal().Key("k").Started == 1 })
	again := r.do(r.request(t.Context(), http.MethodPost, backend.PathEcho, "a booking",
		outcome.HeaderIdempotencyKey, "k", outcome.HeaderRemaining, "1"))
	r.Assert(again.err, qt.IsNil)
	r.Check(again.StatusCode == 409 || again.StatusCode == 504, qt.IsTrue, qt.Commentf("%d", again.StatusCode))
	cancel()
	<-held
	r.Check(r.backend.Journal().Key("k").Started, qt.Equals, 1)
}

// noQuorum is a memory whose replicas are unreachable.
type noQuorum struct{ deadlines chan bool }

func (m noQuorum) Begin(ctx context.Context, _ idempotency.Key, _ idempotency.Fingerprint) (idempotency.Claim, error) {
	_, bounded := ctx.Deadline()
	m.deadlines <- bounded
	return idempotency.Claim{}, idempotency.ErrNoQuorum
}

// A request whose key too few nodes can remember must be refused as not run.
func TestNoQuorumIsNotRun(t *testing.T) {
	r := newRig(t, backend.Options{}, plainSettings())
	memory := noQuorum{make(chan bool, 1)}
	r.proxy.memory = memory
	refused := r.send(outcome.HeaderIdempotencyKey, "k")
	r.checkProblem(refused, http.StatusServiceUnavailable, outcome.NotRun, outcome.ReasonNoQuorum)
	r.Check(refused.Header.Get("Retry-After"), qt.Equals, "1")
	r.Check(<-memory.deadlines, qt.IsTrue)
	r.Check(r.backend.Journal().Key("k").Started, qt.Equals, 0)
}
