package fleet

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// The sizes of the tests: three nodes in each zone. Nothing here asserts how fast
// something is; waits end with the event they are for, or fail after testPatience.
const (
	testNodes    = 24
	testPatience = 2 * time.Minute
)

func TestConverge(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := qt.New(t)
	const changes = 3
	report, err := Converge(context.Background(), ConvergeOptions{
		Settings:     Settings{Nodes: testNodes, MutualTLS: true, Seed: 1},
		Changes:      changes,
		Gap:          time.Millisecond,
		Settle:       time.Millisecond,
		Idle:         time.Millisecond,
		Patience:     testPatience,
		Baselines:    []string{BaselinePoll, BaselineFullPush},
		PollInterval: 100 * time.Millisecond,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Breaches, qt.HasLen, 0)
	c.Assert(report.delays, qt.HasLen, changes*testNodes)
	c.Assert(report.BytesByKind, qt.Not(qt.HasLen), 0)
	c.Assert(report.SourceReadersMax > 0 && report.SourceReadersMax <= report.SourceReadersLimit, qt.IsTrue)
	c.Assert(report.Baselines, qt.HasLen, 2)
	for _, baseline := range report.Baselines {
		c.Assert(baseline.delays, qt.HasLen, changes*testNodes, qt.Commentf(baseline.Strategy))
	}
	c.Assert(report.PlotConvergence(filepath.Join(t.TempDir(), "convergence.svg")), qt.IsNil)
	c.Assert(report.PlotBytes(filepath.Join(t.TempDir(), "bytes.png")), qt.IsNil)
}

func TestFaultCases(t *testing.T) {
	const shortest = 0.005
	for _, name := range FaultNames() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			report, err := Faults(context.Background(), FaultsOptions{
				Settings:  Settings{Nodes: testNodes, Seed: 1},
				Scale:     shortest,
				Patience:  testPatience,
				StepLimit: testPatience,
				Only:      []string{name},
			})
			c.Assert(err, qt.IsNil)
			c.Assert(report.Rows[0].Faults, qt.HasLen, 0)
			c.Assert(report.Failed, qt.Equals, 0)
		})
	}
}

// TestRestartedNodesLeaveTheSourceAlone takes enough nodes that those which restart
// without the platform would pass its limit if each took itself for a reader.
func TestRestartedNodesLeaveTheSourceAlone(t *testing.T) {
	const nodes = 120
	c := qt.New(t)
	report, err := Faults(context.Background(), FaultsOptions{
		Settings:  Settings{Nodes: nodes, Seed: 1},
		Patience:  testPatience,
		StepLimit: testPatience,
		Only:      []string{"source-down-and-half-killed"},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(report.Rows[0].Faults, qt.HasLen, 0)
}

func TestUnknownNamesAreRefused(t *testing.T) {
	c := qt.New(t)
	_, err := Faults(context.Background(), FaultsOptions{Only: []string{"no such case"}})
	c.Assert(err, qt.ErrorMatches, `no fault case "no such case"`)
	_, err = measureBaseline(context.Background(), ConvergeOptions{}.withDefaults(), "none")
	c.Assert(err, qt.ErrorMatches, "unknown baseline.*")
}
