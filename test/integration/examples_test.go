package integration

import (
	"path/filepath"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// routeTimeout matches the timeouts of routes, except those of sessions, which are in
// hours.
var routeTimeout = regexp.MustCompile(`timeout = "[0-9]+m?s"`)

// TestExamples runs each example deployment with real processes and sends its workload.
// Every call must be answered, and the journals of the backends must agree.
func TestExamples(t *testing.T) {
	t.Parallel()
	const callsPerSecond, seconds = 100, 2
	for _, name := range []string{"montevideo", "kerlann"} {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			directory := filepath.Join("..", "..", "examples", name)
			plan, err := deployment.Load(directory)
			qt.Assert(t, err, qt.IsNil)
			workload, err := load.LoadWorkload(filepath.Join(directory, "workload.yaml"))
			qt.Assert(t, err, qt.IsNil)
			// Long timeouts keep a loaded machine from changing the result.
			for i := range workload.Calls {
				workload.Calls[i].Timeout = callTimeout
			}
			for i := range plan.Content.Policies {
				policy := &plan.Content.Policies[i]
				policy.Program = routeTimeout.ReplaceAllString(policy.Program, `timeout = "`+callTimeout.String()+`"`)
			}
			running, err := mesh.Start(ctx, mesh.Options{Deployment: plan, Binary: winchheadBinary, Logs: nodeLogs(t)})
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { qt.Check(t, running.Close(), qt.IsNil) })
			qt.Assert(t, running.AwaitComplete(ctx), qt.IsNil)
			record, err := load.Run(ctx, load.Options{
				Rate: callsPerSecond, Duration: seconds * time.Second, Entries: running.Entries,
				Plan: workload.Planner(name, 1), Transport: load.NewTransport(),
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, record.Results(), qt.HasLen, callsPerSecond*seconds)
			assertOnly(t, record.Results(), load.Answered)
			assertGuarantees(t, running, record.Results())
		})
	}
}
