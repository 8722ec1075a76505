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

// The promises of the brief that the rows guard.
const (
	promiseOnce    = "A request that may not be repeated runs at most once."
	promiseNotRun  = "When a request is refused as \"not run\", it truly did not run."
	promiseWhole   = "A caller gets the whole answer to its own request and no one else's."
	promiseHealth  = "Health and load endpoints lag or mislead; none of this may break the promises."
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
	// awaited lists what must happen to some call during the fault: one of these.
	awaited []load.Class
	// journal is what the journals must show of at least one call that may not be
	// repeated and ended as awaited.
	journal journalCheck
}

// journalCheck is what the journals show of a call.
type journalCheck string

const (
	anything  journalCheck = ""
	ran       journalCheck = "ran once"
	didNotRun journalCheck = "did not run"
)

// holds reports whether the journals show it.
func (j journalCheck) holds(journal load.Journal, result load.Result) bool {
	switch j {
	case ran:
		return !result.Call.MayRepeat && journal(result.Call.ID).Started == 1
	case didNotRun:
		return !result.Call.MayRepeat && journal(result.Call.ID).Started == 0
	default:
		return true
	}
}

// injected makes a row's begin and end from a fault on a hop of the victim.
func injected(row faultRow, hop mesh.Hop, fault faultproxy.Fault) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { return m.Hop(victim, hop).Inject(fault) }
	row.end = func(ctx context.Context, m *mesh.Mesh) error { m.Hop(victim, hop).Heal(ctx); return nil }
	return row
}

// misbehaving makes a row whose back end acts otherwise.
func misbehaving(row faultRow, behavior backend.Behavior) faultRow {
	row.begin = func(_ context.Context, m *mesh.Mesh) error { m.Backend(victim).Configure(behavior); return nil }
	row.end = func(_ context.Context, m *mesh.Mesh) error {
		m.Backend(victim).Configure(backend.Behavior{})
		return nil
	}
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
	// brokenAnswers is how many answers the back end breaks: all until the row ends.
	brokenAnswers = 1 << 30
)

// fullLoad is the load that a lying back end claims.
var fullLoad = 1.0

// faultRows is the fault table. Faults begin while calls are in progress.
var faultRows = []faultRow{
	refused(faultRow{
		name: "connection refused by the back end", promise: promiseNotRun,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	}, mesh.HopBackend),
	refused(faultRow{
		name: "connection refused by the node", promise: promiseNotRun,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	}, mesh.HopData),
	injected(faultRow{
		name: "reset before the request reaches the back end", promise: promiseOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown}, journal: didNotRun,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}),
	injected(faultRow{
		name: "reset after the request reached the back end", promise: promiseOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown}, journal: ran,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	injected(faultRow{
		name: "reset between nodes after the request was sent", promise: promiseOnce,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown}, journal: ran,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	injected(faultRow{
		name: "cut within the answer of the back end", promise: promiseWhole,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Cut}, journal: ran,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutBytes}),
	injected(faultRow{
		name: "cut between nodes within the answer", promise: promiseWhole,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Cut}, journal: ran,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutBytes}),
	misbehaving(faultRow{
		name: "reset within the answer of the back end", promise: promiseWhole,
		allowed: []load.Class{load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown, load.Cut}, journal: ran,
	}, backend.Behavior{Fault: backend.FaultResetMidAnswer, FaultCount: brokenAnswers}),
	misbehaving(faultRow{
		name: "answer shorter than announced", promise: promiseWhole,
		allowed: []load.Class{load.Unknown, load.Cut}, awaited: []load.Class{load.Unknown, load.Cut}, journal: ran,
	}, backend.Behavior{Fault: backend.FaultWrongLength, FaultCount: brokenAnswers}),
	misbehaving(faultRow{
		name: "health endpoint lies that the back end fails", promise: promiseHealth, awaited: []load.Class{load.Answered},
	}, backend.Behavior{Health: backend.HealthFailing}),
	misbehaving(faultRow{
		name: "load endpoint lies that the back end is full", promise: promiseHealth, awaited: []load.Class{load.Answered},
	}, backend.Behavior{LoadLie: &fullLoad}),
	injected(faultRow{
		name: "back end stalled", promise: promiseWhole, timeout: shortTimeout,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: []load.Class{load.Unknown}, journal: ran,
	}, mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsClient}),
	injected(faultRow{
		name: "link delayed", promise: promiseWhole, awaited: []load.Class{load.Answered},
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.TowardsClient, Delay: linkDelay}),
	injected(faultRow{
		name: "halved link: requests are lost, the connection stands", promise: promiseOnce, timeout: shortTimeout,
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: []load.Class{load.Unknown}, journal: didNotRun,
	}, mesh.HopData, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsServer}),
	{
		name: "node killed", promise: promiseOnce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Node(victim).Kill() },
		end:     func(ctx context.Context, m *mesh.Mesh) error { return m.Node(victim).Start(ctx) },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	},
	{
		name: "back end killed", promise: promiseOnce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { m.Backend(victim).Kill(); return nil },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Backend(victim).Restart() },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
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
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut}, awaited: []load.Class{load.Answered},
	},
	{
		name: "node paused and woken", promise: promiseNotRun, timeout: shortTimeout,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Node(victim).Pause() },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Node(victim).Resume() },
		allowed: []load.Class{load.NotRun, load.Unknown, load.Cut, load.Late, load.Rejected}, awaited: []load.Class{load.Unknown},
	},
	{
		name: "configuration source down", promise: promiseInForce,
		begin:   func(_ context.Context, m *mesh.Mesh) error { return m.Platform.Outage() },
		end:     func(_ context.Context, m *mesh.Mesh) error { return m.Platform.Return() },
		awaited: []load.Class{load.Answered},
	},
}

// TestFaults runs the fault table on one mesh: calls go on while each fault
// begins, lasts until callers have seen it, and ends.
func TestFaults(t *testing.T) {
	t.Parallel()
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
	calling.awaitSince(ctx, t, before, 1, func(result load.Result) bool {
		return slices.Contains(row.awaited, result.Class) && row.journal.holds(running.Journal(), result)
	})
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
