package integration

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// TestKeyRunsOnceWhenItsNodesAreKilled runs a booking with a key, then kills and replaces
// both nodes that know of it: the caller's edge and the sidecar of the backend that ran
// it. Repeating the booking through the other edge must not run it again.
func TestKeyRunsOnceWhenItsNodesAreKilled(t *testing.T) {
	t.Parallel()
	running := startMesh(t)
	ctx := testContext(t)
	transport := load.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	booking := load.Call{
		ID: "booking-with-key", Host: service, Path: "/echo", Method: http.MethodPost,
		BodyBytes: smallBody, Timeout: callTimeout, IdempotencyKey: "killed",
	}
	edge := running.Node("edge-1")
	first := load.Send(transport, edge.Outbound(), booking, time.Now())
	qt.Assert(t, first.Class, qt.Equals, load.Answered, qt.Commentf("%+v", first))

	for _, lost := range []*mesh.Node{edge, nodeThatRan(t, running, booking.IdempotencyKey)} {
		qt.Assert(t, lost.Kill(), qt.IsNil)
		qt.Assert(t, lost.Start(ctx), qt.IsNil)
	}
	qt.Assert(t, running.AwaitComplete(ctx), qt.IsNil)

	// Until the edge knows the new processes, it may refuse the booking as not run.
	again := load.Send(transport, running.Node("edge-2").Outbound(), booking, time.Now())
	for again.Class == load.NotRun && ctx.Err() == nil {
		again = load.Send(transport, running.Node("edge-2").Outbound(), booking, time.Now())
	}
	qt.Check(t, again.Class, qt.Equals, load.Unknown, qt.Commentf("%+v", again))
	qt.Check(t, again.Status, qt.Equals, http.StatusConflict)
	qt.Check(t, runsOf(running, booking.IdempotencyKey), qt.Equals, 1)
}

// nodeThatRan returns the sidecar of the backend that ran the booking with the key.
func nodeThatRan(t testing.TB, running *mesh.Mesh, key string) *mesh.Node {
	for _, instance := range running.Backends() {
		if instance.Journal().Key(key).Started > 0 {
			return running.Node(instance.Node)
		}
	}
	t.Fatal("the booking ran nowhere")
	return nil
}

// runsOf returns how often the booking with the key ran on all backends.
func runsOf(running *mesh.Mesh, key string) int {
	total := 0
	for _, instance := range running.Backends() {
		total += instance.Journal().Key(key).Started
	}
	return total
}
