package integration

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// The promises of the brief that the rows guard.
const (
	promiseOnce    = "A request that may not be repeated runs at most once."
	promiseNotRun  = "When a request is refused as \"not run\", it truly did not run."
	promiseWhole   = "A caller gets the whole answer to its own request and no one else's."
	promiseInForce = "An accepted configuration is in force on every proxy within seconds and never reverts."
)

// victim is the node whose hops, process or back end the rows disturb. Its peer
// stays whole.
const victim = "booking-1"

// faultRow is one fault with what callers may see of it. Besides, in every row,
// the journals must agree with every answer, and a change of the configuration
// that is published during the fault must come into force after it.
type faultRow struct {
	name    string
	promise string
	begin   func(ctx context.Context, m *mesh.Mesh) error
	end     func(ctx context.Context, m *mesh.Mesh) error
	// timeout is the time that callers give; zero is callTimeout.
	timeout time.Duration
	// allowed lists what may become of a call, beside being answered. A call whose
	// time is short may be Rejected: the back end itself answers that it is over.
	allowed []load.Class
	// awaited must happen to some call during the fault.
	awaited load.Class
}

// injected makes a row's begin and end from a fault on a hop of the victim.
func injected(row faultRow, hop mesh.Hop, fault faultproxy.Fault) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { return m.Hop(victim, hop).Inject(fault) }
	row.end = func(ctx context.Context, m *mesh.Mesh) error { m.Hop(victim, hop).Heal(ctx); return nil }
	return row
}

// refused makes a row whose hop refuses connections.
func refused(row faultRow, hop mesh.Hop) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { m.Hop(victim, hop).Refuse(); return nil }
	row.end = func(_ context.Context, m *mesh.Mesh) error { return m.Hop(victim, hop).Accept() }
	return row
}

// Sizes of the faults.
const (
	shortTimeout = 500 * time.Millisecond
	linkDelay    = 30 * time.Millisecond
	cutBytes     = 30_000
)

// faultRows is the fault table. Faults begin while calls are in progress.
var faultRows = []faultRow{
	refused(faultRow{
		name: "connection refused by the back end", promise: promiseNotRun,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Answered,
	}, mesh.HopBackend),
	refused(faultRow{
		name: "connection refused by the node", promise: promiseNotRun,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Answered,
	}, mesh.HopData),
	injected(faultRow{
		name: "reset before the request reaches the back end", promise: promiseOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Unknown,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}),
	injected(faultRow{
		name: "reset after the request reached the back end", promise: promiseOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Unknown,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	injected(faultRow{
		name: "reset between nodes after the request was sent", promise: promiseOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Unknown,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	injected(faultRow{
		name: "cut within the answer of the back end", promise: promiseWhole,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Cut,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutBytes}),
	injected(faultRow{
		name: "cut between nodes within the answer", promise: promiseWhole,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Cut,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutBytes}),
	injected(faultRow{
		name: "back end stalled", promise: promiseWhole, timeout: shortTimeout,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: load.Unknown,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsClient}),
	injected(faultRow{
		name: "link delayed", promise: promiseWhole, awaited: load.Answered,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.TowardsClient, Delay: linkDelay}),
	injected(faultRow{
		name: "halved link: requests are lost, the connection stands", promise: promiseOnce, timeout: shortTimeout,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: load.Unknown,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsServer}),
	{
		name: "node killed", promise: promiseOnce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Node(victim).Kill() },
		end:     func(ctx context.Context, m *mesh.Mesh) error { return m.Node(victim).Start(ctx) },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Answered,
	},
	{
		name: "back end killed", promise: promiseOnce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { m.Backend(victim).Kill(); return nil },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Backend(victim).Restart() },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Answered,
	},
	{
		name: "node and back end killed", promise: promiseOnce,
		begin: func(_ context.Context, m *mesh.Mesh) error {
			m.Backend(victim).Kill()
			return m.Node(victim).Kill()
		},
		end: func(ctx context.Context, m *mesh.Mesh) error {
			if err := m.Backend(victim).Restart(); err != nil {
				return err
			}
			return m.Node(victim).Start(ctx)
		},
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: load.Answered,
	},
	{
		name: "node paused and woken", promise: promiseNotRun, timeout: shortTimeout,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Node(victim).Pause() },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Node(victim).Resume() },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: load.Unknown,
	},
	{
		name: "configuration source down", promise: promiseInForce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Platform.Outage() },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Platform.Return() },
		awaited: load.Answered,
	},
}

// TestFaults runs the fault table on one mesh: calls go on while each fault
// begins, lasts until callers have seen it, and ends.
func TestFaults(t *testing.T) {
	running := startMesh(t, mesh.HopBackend, mesh.HopData)
	for _, row := range faultRows {
		t.Run(row.name, func(t *testing.T) {
			t.Logf("guards: %s", row.promise)
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
	calling.awaitSince(ctx, t, before, 1, func(result load.Result) bool { return result.Class == row.awaited })
	calling.awaitSince(ctx, t, before, callsDuring, nil)
	qt.Assert(t, row.end(ctx, running), qt.IsNil)
	qt.Assert(t, running.AwaitWhole(ctx), qt.IsNil)
	_, err := running.AwaitRevision(ctx, revision)
	qt.Assert(t, err, qt.IsNil)
	calling.awaitMore(ctx, t, callsBefore, answered)
	results := calling.stop()
	t.Logf("%v", classes(results))
	assertOnly(t, results, append(row.allowed, load.Answered)...)
	assertKept(t, running, results)
}
