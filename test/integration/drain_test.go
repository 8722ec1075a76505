package integration

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// The guarantees that the drain rows check.
const (
	guaranteeDrain       = "A back end that is leaving gets no new work after a few seconds."
	guaranteePlannedStop = "A planned stop cuts no request in progress."
)

// drainRow is a planned departure of a node or backend under load. In every row all
// calls must be answered.
type drainRow struct {
	name      string
	guarantee string
	leave     func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers)
}

var drainRows = []drainRow{
	{"a back end announces that it is leaving", guaranteeDrain, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		leaveAndReturn(ctx, t, m, m.Backend(targetNode), calling)
	}},
	{"the platform lists a node as leaving", guaranteeDrain, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		m.Node(targetNode).AnnounceLeaving()
		awaitNoNewWork(ctx, t, m, calling)
		m.Node(targetNode).AnnounceStaying()
	}},
	{"a node beside a back end stops", guaranteePlannedStop, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		qt.Assert(t, m.Node(targetNode).Replace(ctx), qt.IsNil)
	}},
	{"an edge stops", guaranteePlannedStop, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		qt.Assert(t, m.Node("edge-1").Replace(ctx), qt.IsNil)
	}},
	{"every node and back end is replaced", guaranteePlannedStop, func(ctx context.Context, t *testing.T, m *mesh.Mesh, calling *callers) {
		for _, node := range m.Nodes() {
			qt.Assert(t, node.Replace(ctx), qt.IsNil)
			qt.Assert(t, m.AwaitComplete(ctx), qt.IsNil)
		}
		for _, instance := range m.Backends() {
			leaveAndReturn(ctx, t, m, instance, calling)
			qt.Assert(t, m.AwaitComplete(ctx), qt.IsNil)
		}
	}},
}

// leaveAndReturn drains a backend and restarts it as a new process once its node has
// seen that it is gone.
func leaveAndReturn(ctx context.Context, t *testing.T, m *mesh.Mesh, instance *mesh.Backend, calling *callers) {
	instance.Drain()
	awaitNoNewWork(ctx, t, m, calling)
	qt.Assert(t, instance.Close(ctx), qt.IsNil)
	qt.Assert(t, m.AwaitState(ctx, m.Node(instance.Node), "starting"), qt.IsNil)
	instance.EndDrain()
	qt.Assert(t, instance.Restart(), qt.IsNil)
}

// awaitNoNewWork waits until no node sends requests to the leaving instance and all calls
// begun before that have ended. Then it checks that the instance runs nothing while the
// other instance does.
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

// startedOn returns how many requests each backend has begun.
func startedOn(m *mesh.Mesh) map[string]int {
	started := map[string]int{}
	for _, instance := range m.Backends() {
		started[instance.Node] = instance.Journal().Total().Started
	}
	return started
}

// TestDrain runs the drain rows, each with a mesh of its own.
func TestDrain(t *testing.T) {
	t.Parallel()
	for _, row := range drainRows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			t.Logf("guards: %s", row.guarantee)
			ctx := testContext(t)
			running := startMesh(t)
			calling := startCallers(t, running, callTimeout)
			calling.awaitMore(ctx, t, callsBefore, nil)
			row.leave(ctx, t, running, calling)
			qt.Assert(t, running.AwaitComplete(ctx), qt.IsNil)
			calling.awaitMore(ctx, t, callsBefore, nil)
			results := calling.stop()
			t.Logf("%v", classes(results))
			assertOnly(t, results, load.Answered)
			assertGuarantees(t, running, results)
		})
	}
}
