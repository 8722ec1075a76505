package integration

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// The guarantees that the fault rows check.
const (
	guaranteeOnce        = "A request that may not be repeated runs at most once."
	guaranteeNotRun      = "When a request is refused as \"not run\", it truly did not run."
	guaranteeWholeAnswer = "A caller gets the whole answer to its own request and no one else's."
	guaranteeHealth      = "Health and load endpoints lag or mislead; none of this may break the other guarantees."
	guaranteeInForce     = "An accepted configuration is in force on every proxy within seconds and never reverts."
)

// targetNode is the node whose hops, process or backend the rows disturb. The sidecar of
// the other backend is left alone.
const targetNode = "booking-1"

// faultRow is a fault and the results that callers may see during it. In every row the
// journals must also agree with every answer, and a configuration change that is published
// during the fault must come into force after it.
type faultRow struct {
	name      string
	guarantee string
	begin     func(ctx context.Context, m *mesh.Mesh) error
	end       func(ctx context.Context, m *mesh.Mesh) error
	// timeout is the timeout of the calls. Zero means callTimeout.
	timeout time.Duration
	// allowed lists the results that calls may have besides Answered. Calls with a short
	// timeout may be Rejected: the backend itself answers that their time is over.
	allowed []load.Class
	// awaited lists results of which at least one must occur during the fault.
	awaited []load.Class
	// journal is what the journals must show for at least one call that may not be repeated
	// and has an awaited result.
	journal journalCheck
}

// journalCheck is what the journals must show for a call.
type journalCheck string

const (
	anything  journalCheck = ""
	ran       journalCheck = "ran once"
	didNotRun journalCheck = "did not run"
)

// matches reports whether the journals show it for the call of the result.
func (j journalCheck) matches(journal load.Journal, result load.Result) bool {
	switch j {
	case ran:
		return !result.Call.MayRepeat && journal(result.Call.ID).Started == 1
	case didNotRun:
		return !result.Call.MayRepeat && journal(result.Call.ID).Started == 0
	default:
		return true
	}
}

// withFault returns the row with a fault on a hop of the target node.
func withFault(row faultRow, hop mesh.Hop, fault faultproxy.Fault) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { return m.Hop(targetNode, hop).Inject(fault) }
	row.end = func(ctx context.Context, m *mesh.Mesh) error { m.Hop(targetNode, hop).Heal(ctx); return nil }
	return row
}

// withBehavior returns the row with a changed behavior of the backend.
func withBehavior(row faultRow, behavior backend.Behavior) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { m.Backend(targetNode).Configure(behavior); return nil }
	row.end = func(_ context.Context, m *mesh.Mesh) error {
		m.Backend(targetNode).Configure(backend.Behavior{})
		return nil
	}
	return row
}

// withRefusedConnections returns the row with a hop that refuses connections.
func withRefusedConnections(row faultRow, hop mesh.Hop) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { m.Hop(targetNode, hop).Refuse(); return nil }
	row.end = func(_ context.Context, m *mesh.Mesh) error { return m.Hop(targetNode, hop).Accept() }
	return row
}

// Durations and sizes of the faults.
const (
	shortTimeout  = 500 * time.Millisecond
	linkDelay     = 30 * time.Millisecond
	cutAfterBytes = 30_000
	// brokenAnswers is the number of answers that the backend breaks: more than a row has, so
	// that all are broken until the row ends.
	brokenAnswers = 1 << 30
)

// falseLoad is the load that a backend falsely reports.
var falseLoad = 1.0

// faultRows are the tested faults. Each begins while calls are in progress.
var faultRows = []faultRow{
	withRefusedConnections(faultRow{
		name: "connection refused by the back end", guarantee: guaranteeNotRun,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	}, mesh.HopBackend),
	withRefusedConnections(faultRow{
		name: "connection refused by the node", guarantee: guaranteeNotRun,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	}, mesh.HopData),
	withFault(faultRow{
		name: "reset before the request reaches the back end", guarantee: guaranteeOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown}, journal: didNotRun,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}),
	withFault(faultRow{
		name: "reset after the request reached the back end", guarantee: guaranteeOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown}, journal: ran,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	withFault(faultRow{
		name: "reset between nodes after the request was sent", guarantee: guaranteeOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown}, journal: ran,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	withFault(faultRow{
		name: "cut within the answer of the back end", guarantee: guaranteeWholeAnswer,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Cut}, journal: ran,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutAfterBytes}),
	withFault(faultRow{
		name: "cut between nodes within the answer", guarantee: guaranteeWholeAnswer,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Cut}, journal: ran,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutAfterBytes}),
	withBehavior(faultRow{
		name: "reset within the answer of the back end", guarantee: guaranteeWholeAnswer,
		allowed: []load.Class{load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown, load.Cut}, journal: ran,
	}, backend.Behavior{Fault: backend.FaultResetMidAnswer, FaultCount: brokenAnswers}),
	withBehavior(faultRow{
		name: "answer shorter than announced", guarantee: guaranteeWholeAnswer,
		allowed: []load.Class{load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown, load.Cut}, journal: ran,
	}, backend.Behavior{Fault: backend.FaultWrongLength, FaultCount: brokenAnswers}),
	withBehavior(faultRow{
		name: "health endpoint falsely reports failure", guarantee: guaranteeHealth, awaited: []load.Class{load.Answered},
	}, backend.Behavior{Health: backend.HealthFailing}),
	withBehavior(faultRow{
		name: "load endpoint falsely reports full load", guarantee: guaranteeHealth, awaited: []load.Class{load.Answered},
	}, backend.Behavior{FalseLoad: &falseLoad}),
	withFault(faultRow{
		name: "back end stalled", guarantee: guaranteeWholeAnswer, timeout: shortTimeout,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: []load.Class{load.Unknown}, journal: ran,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsClient}),
	withFault(faultRow{
		name: "link delayed", guarantee: guaranteeWholeAnswer, awaited: []load.Class{load.Answered},
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.TowardsClient, Delay: linkDelay}),
	withFault(faultRow{
		name: "half-open link: requests are lost, the connection stays open", guarantee: guaranteeOnce, timeout: shortTimeout,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: []load.Class{load.Unknown}, journal: didNotRun,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsServer}),
	{
		name: "node killed", guarantee: guaranteeOnce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Node(targetNode).Kill() },
		end:     func(ctx context.Context, m *mesh.Mesh) error { return m.Node(targetNode).Start(ctx) },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	},
	{
		name: "back end killed", guarantee: guaranteeOnce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { m.Backend(targetNode).Kill(); return nil },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Backend(targetNode).Restart() },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	},
	{
		name: "node and back end killed", guarantee: guaranteeOnce,
		begin: func(_ context.Context, m *mesh.Mesh) error {
			m.Backend(targetNode).Kill()
			return m.Node(targetNode).Kill()
		},
		end: func(ctx context.Context, m *mesh.Mesh) error {
			if err := m.Backend(targetNode).Restart(); err != nil {
				return err
			}
			return m.Node(targetNode).Start(ctx)
		},
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	},
	{
		name: "node paused and resumed", guarantee: guaranteeNotRun, timeout: shortTimeout,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Node(targetNode).Pause() },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Node(targetNode).Resume() },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: []load.Class{load.Unknown},
	},
	{
		name: "configuration source down", guarantee: guaranteeInForce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Platform.BeginOutage() },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Platform.EndOutage() },
		awaited: []load.Class{load.Answered},
	},
}

// TestFaults runs all fault rows on one mesh. Calls go on while each fault begins, lasts
// until callers have seen it, and ends.
func TestFaults(t *testing.T) {
	t.Parallel()
	running := startMesh(t, mesh.HopBackend, mesh.HopData)
	for _, row := range faultRows {
		t.Run(row.name, func(t *testing.T) {
			t.Logf("guards: %s", row.guarantee)
			runFault(t, running, row)
		})
	}
}

const (
	callsBefore = 40
	callsDuring = 120
)

func runFault(t *testing.T, running *mesh.Mesh, row faultRow) {
	ctx := testContext(t)
	timeout := row.timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	calling := startCallers(t, running, timeout)
	calling.awaitMore(ctx, t, callsBefore, answered)
	before := calling.mark()
	qt.Assert(t, row.begin(ctx, running), qt.IsNil)
	revision := publishChange(t, running)
	calling.awaitSince(ctx, t, before, 1, func(result load.Result) bool {
		return slices.Contains(row.awaited, result.Class) && row.journal.matches(running.Journal(), result)
	})
	calling.awaitSince(ctx, t, before, callsDuring, nil)
	qt.Assert(t, row.end(ctx, running), qt.IsNil)
	qt.Assert(t, running.AwaitComplete(ctx), qt.IsNil)
	_, err := running.AwaitRevision(ctx, revision)
	qt.Assert(t, err, qt.IsNil)
	calling.awaitMore(ctx, t, callsBefore, answered)
	results := calling.stop()
	t.Logf("%v", classes(results))
	assertOnly(t, results, append(row.allowed, load.Answered)...)
	assertGuarantees(t, running, results)
}
