package command

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/fleet"
)

const convergeHelp = "Starts a fleet of simulated nodes cold, leaves it idle, makes one change after another and " +
	"reports how fast and at what cost each came into force. Exits with 1 if a node ever went back."

// fleetFlags describe a simulated fleet.
type fleetFlags struct {
	Nodes     int    `long:"nodes" default:"710" description:"simulated nodes"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of the random choices"`
	MutualTLS bool   `long:"mutual-tls" description:"give every node throwaway keys"`
}

func (f fleetFlags) settings() fleet.Settings {
	return fleet.Settings{Nodes: f.Nodes, Seed: f.Seed, MutualTLS: f.MutualTLS}
}

// convergeCommand measures convergence.
type convergeCommand struct {
	environment
	fleetFlags
	Changes  int           `long:"changes" default:"20" description:"changes made, one after another"`
	Idle     time.Duration `long:"idle" default:"30s" description:"how long the idle fleet is measured"`
	Baseline []string      `long:"baseline" choice:"poll" choice:"full-push" description:"plain strategy to measure as well; may be repeated"`
	JSON     bool          `long:"json" description:"print the report as one JSON object"`
	Plot     string        `long:"plot" value-name:"FILE" description:"draw convergence into FILE and bytes into a file beside it (.png, .svg, .pdf)"`
}

// Execute runs the measurement.
func (c *convergeCommand) Execute([]string) error {
	report, err := fleet.Converge(c.ctx, fleet.ConvergeOptions{
		Settings: c.settings(), Changes: c.Changes, Idle: c.Idle, Baselines: c.Baseline,
		Progress: c.progress,
	})
	if err != nil {
		return err
	}
	if err := c.draw(report); err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if report.VersionRegressions > 0 {
		return eris.Errorf("%d nodes went back or held what was never published, such as %s", report.VersionRegressions, strings.Join(report.Breaches, "; "))
	}
	return nil
}

func (c *convergeCommand) draw(report *fleet.Report) error {
	if c.Plot == "" {
		return nil
	}
	if err := report.PlotConvergence(c.Plot); err != nil {
		return err
	}
	suffix := filepath.Ext(c.Plot)
	return report.PlotBytes(strings.TrimSuffix(c.Plot, suffix) + "-bytes" + suffix)
}

func (c *convergeCommand) print(report *fleet.Report) error {
	if c.JSON {
		return printJSON(c.stdout, report)
	}
	_, _ = fmt.Fprintf(c.stdout, "%d nodes, cold start in force after %.2f s, at most %d readers of the platform (limit %d), %.0f bytes of memory a node, %d regressions\n",
		report.Nodes, report.ColdStartSeconds, report.SourceReadersMax, report.SourceReadersLimit, report.MemoryBytesPerNode, report.VersionRegressions)
	table := newTable(c.stdout, "STRATEGY", "CHANGES", "P50 S", "P99 S", "MAX S", "IDLE B/S", "CHANGING B/S", "B/CHANGE", "CORE SHARE")
	row := func(name string, changes int, seconds fleet.Quantiles, rates fleet.Rates, bytes, share float64) {
		table.row(name, changes, seconds3(seconds.P50), seconds3(seconds.P99), seconds3(seconds.Max),
			fmt.Sprintf("%.1f", rates.Idle), fmt.Sprintf("%.1f", rates.Changing), fmt.Sprintf("%.0f", bytes), fmt.Sprintf("%.5f", share))
	}
	row("winchhead", report.Changes, report.ConvergenceSeconds, report.ControlBytesPerNodePerSecond, report.BytesPerNodePerChange, report.CPUCoreSharePerNode)
	for _, plain := range report.Baselines {
		row(plain.Strategy, plain.Changes, plain.ConvergenceSeconds, plain.ControlBytesPerNodePerSecond, plain.BytesPerNodePerChange, plain.CPUCoreSharePerNode)
	}
	table.flush()
	return nil
}

func seconds3(value float64) string { return fmt.Sprintf("%.3f", value) }

const faultsHelp = "Runs the table of fleet fault cases, each on a simulated fleet of its own, and exits with 1 if a case " +
	"failed. --scale shortens the times that the cases name; 1 runs them as they are."

// faultsCommand runs the fleet's fault cases.
type faultsCommand struct {
	environment
	fleetFlags
	Scale float64  `long:"scale" default:"0.1" description:"share of the named times that the cases take"`
	Only  []string `long:"case" description:"name of a case to run; may be repeated"`
	List  bool     `long:"list" description:"list the names of the cases and exit"`
	JSON  bool     `long:"json" description:"print the report as one JSON object"`
}

// Execute runs the cases.
func (c *faultsCommand) Execute([]string) error {
	if c.List {
		_, _ = fmt.Fprintln(c.stdout, strings.Join(fleet.FaultNames(), "\n"))
		return nil
	}
	report, err := fleet.Faults(c.ctx, fleet.FaultsOptions{
		Settings: c.settings(), Scale: c.Scale, Only: c.Only, Progress: c.progress,
	})
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if report.Failed > 0 {
		return eris.Errorf("%d of %d cases failed", report.Failed, len(report.Rows))
	}
	return nil
}

func (c *faultsCommand) print(report *fleet.FaultsReport) error {
	if c.JSON {
		return printJSON(c.stdout, report)
	}
	table := newTable(c.stdout, "CASE", "PASSED", "LONGEST STEP S", "READERS", "FAULTS")
	for _, row := range report.Rows {
		table.row(row.Name, row.Passed, fmt.Sprintf("%.2f", row.StepSecondsMax),
			fmt.Sprintf("%d of %d", row.SourceReadersMax, row.SourceReadersLimit), strings.Join(row.Faults, "; "))
	}
	table.flush()
	return nil
}
