package integration

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// The promises of the brief that the drain rows guard.
const (
	promiseDrain = "A back end that is leaving gets no new work after a few seconds."
	promiseStop  = "A planned stop cuts no request in progress."
)

// drainRow is something that leaves under load, as planned. In every row all
// calls must be answered.
type drainRow struct {
	name    string
	promise string
	leave   func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers)
}

var drainRows = []drainRow{
	{"a back end says that it is leaving", promiseDrain, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		leaveAndReturn(ctx, t, m, m.Backend(victim), calling)
	}},
	{"the platform's list says that a node is leaving", promiseDrain, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		m.Node(victim).AnnounceLeaving()
		awaitNoNewWork(ctx, t, m, calling)
		m.Node(victim).AnnounceStaying()
	}},
	{"a node beside a back end stops", promiseStop, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		qt.Assert(t, m.Node(victim).Replace(ctx), qt.IsNil)
	}},
	{"an edge stops", promiseStop, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		qt.Assert(t, m.Node("edge-1").Replace(ctx), qt.IsNil)
	}},
	{"every node and back end is replaced", promiseStop, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		for _, node := range m.Nodes() {
			qt.Assert(t, node.Replace(ctx), qt.IsNil)
			qt.Assert(t, m.AwaitWhole(ctx), qt.IsNil)
		}
		for _, instance := range m.Backends() {
			leaveAndReturn(ctx, t, m, instance, calling)
			qt.Assert(t, m.AwaitWhole(ctx), qt.IsNil)
		}
	}},
}

// leaveAndReturn lets a back end leave as planned and come back as a new process
// once its node has seen that it is gone.
func leaveAndReturn(ctx context.Context, t *testing.T, m *mesh.Mesh, instance *mesh.Backend, calling *callers) {
	instance.Drain()
	awaitNoNewWork(ctx, t, m, calling)
	qt.Assert(t, instance.Close(ctx), qt.IsNil)
	qt.Assert(t, m.AwaitState(ctx, m.Node(instance.Node), "starting"), qt.IsNil)
	instance.EndDrain()
	qt.Assert(t, instance.Restart(), qt.IsNil)
}

// awaitNoNewWork waits until no node counts on the leaving instance, and until
// all calls begun before that have ended; then it checks that the instance runs
// nothing while its peer does.
func awaitNoNewWork(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
	qt.Assert(t, m.AwaitInstances(ctx, service, 1, m.Edges()...), qt.IsNil)
	calling.awaitMore(ctx, t, 2*workers, nil)
	before := startedOn(m)
	calling.awaitMore(ctx, t, callsDuring, nil)
	after := startedOn(m)
	idle := 0
	for node, started := range after {
		if started == before[node] {
			idle++
		}
	}
	qt.Assert(t, idle, qt.Equals, 1, qt.Commentf("started before %v, after %v", before, after))
}

// startedOn counts what each back end has begun.
func startedOn(m *mesh.Mesh) map[string]int {
	started := map[string]int{}
	for _, instance := range m.Backends() {
		started[instance.Node] = instance.Journal().Total().Started
	}
	return started
}

// TestDrain runs the drain rows, each on a mesh of its own.
func TestDrain(t *testing.T) {
	t.Parallel()
	for _, row := range drainRows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("guards: %s", row.promise)
			ctx := testContext(t)
			running := startMesh(t)
			calling := startCallers(t, running, callTimeout)
			calling.awaitMore(ctx, t, callsBefore, nil)
			row.leave(ctx, t, running, calling)
			qt.Assert(t, running.AwaitWhole(ctx), qt.IsNil)
			calling.awaitMore(ctx, t, callsBefore, nil)
			results := calling.stop()
			t.Logf("%v", classes(results))
			assertOnly(t, results, load.Answered)
			assertKept(t, running, results)
		})
	}
}
