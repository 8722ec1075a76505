package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/load"
)

// TestRepeatedKeyRunsOnce sends a request that may not be repeated several times at once
// through both edges, with the same Idempotency-Key. It must run at most once.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	t.Parallel()
	running := startMesh(t)
	const repeats = 8
	call := load.Call{
		ID: "keyed", IdempotencyKey: "key-1", Method: http.MethodPost, Host: service, Path: "/echo",
		BodyBytes: smallBody, Work: 50 * time.Millisecond, Timeout: callTimeout,
	}
	results := make([]load.Result, repeats)
	var waiting sync.WaitGroup
	transport := load.NewTransport()
	for i := range results {
		waiting.Go(func() {
			results[i] = load.Send(transport, running.Entries.Pick(uint64(i)), call, time.Now())
		})
	}
	waiting.Wait()
	t.Logf("%v", classes(results))
	qt.Assert(t, running.Journal()(call.ID).Started, qt.Equals, 1)
	qt.Assert(t, classes(results)[load.Answered] > 0, qt.IsTrue, qt.Commentf("%+v", results))
	later := load.Send(transport, running.Entries.Pick(0), call, time.Now())
	qt.Assert(t, later.Class, qt.Equals, load.Answered, qt.Commentf("%s", later.Reason))
	qt.Assert(t, running.Journal()(call.ID).Started, qt.Equals, 1)
}

// TestResumedNodeForwardsNothingExpired pauses the only node that takes work, lets calls
// time out, and resumes the node. It must not forward calls whose deadline passed during
// the pause.
func TestResumedNodeForwardsNothingExpired(t *testing.T) {
	t.Parallel()
	running := startMesh(t)
	ctx := testContext(t)
	peer := "booking-2"
	running.Backend(peer).Drain()
	qt.Assert(t, running.AwaitInstances(ctx, service, 1, running.Edges()...), qt.IsNil)
	qt.Assert(t, running.Node(targetNode).Pause(), qt.IsNil)

	const calls = 20
	results := make([]load.Result, calls)
	var waiting sync.WaitGroup
	transport := load.NewTransport()
	for i := range results {
		call := load.Call{
			ID: fmt.Sprintf("expired-%d", i), Method: http.MethodPost, Host: service, Path: "/echo",
			BodyBytes: smallBody, Timeout: shortTimeout,
		}
		waiting.Go(func() { results[i] = load.Send(transport, running.Entries.Pick(uint64(i)), call, time.Now()) })
	}
	waiting.Wait()
	qt.Assert(t, running.Node(targetNode).Resume(), qt.IsNil)
	running.Backend(peer).EndDrain()
	qt.Assert(t, running.AwaitComplete(ctx), qt.IsNil)

	after := startCallers(t, running, callTimeout)
	after.awaitMore(ctx, t, callsBefore, answered)
	assertOnly(t, results, load.NotRun, load.Unknown)
	for _, result := range results {
		qt.Assert(t, running.Journal()(result.Call.ID).Started, qt.Equals, 0, qt.Commentf("%+v", result))
	}
}
