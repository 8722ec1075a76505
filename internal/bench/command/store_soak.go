package command

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/chart"
	"github.com/winchhead/winchhead/internal/bench/storesoak"
)

const storeSoakHelp = "Runs a fleet of real node processes with an emulated key-value store and emulated instances, " +
	"under load and random external faults, and exits with 1 if a guarantee was violated. The same seed gives the same faults " +
	"in the same order. Add a seed that found a violation to storesoak/regressions.go, with a line on its cause."

// storeSoakCommand runs a soak test of a fleet with a store once for each seed.
type storeSoakCommand struct {
	environment
	binaryFlags
	Seed          uint64  `long:"seed" default:"1" description:"seed of the first soak; the others have the next ones"`
	Seeds         int     `long:"seeds" default:"1" description:"how many soaks, one after the other"`
	Machines      int     `long:"machines" default:"8" description:"machines of the fleet, each with a node process; 80 is the usual size"`
	Zones         int     `long:"zones" default:"2" description:"zones that the machines are spread over"`
	Routes        int     `long:"routes" default:"200" description:"the most routes that changes add, in all; a third of them is there from the start"`
	SlowestLink   float64 `long:"slowest-link" value-name:"MBITS" description:"rate of the slowest machines' links; others have up to 20 times that; none if left out"`
	Busy          int     `long:"busy" description:"processes that use processors beside the fleet"`
	Faults        int     `long:"faults" default:"20" description:"faults of each soak"`
	Rate          float64 `long:"rate" default:"150" description:"calls per second"`
	RestoreShare  float64 `long:"restore-share" description:"share of the faults, 0 to 1, in which the store comes back from a copy some seconds old"`
	LeaveRate     float64 `long:"leave-rate" description:"instances per second that say that they leave and are replaced, beside the faults; changes then come in quick succession"`
	CrashRate     float64 `long:"crash-rate" description:"calls per second that crash the instances which run them; these start again under their names"`
	Tenants       int     `long:"tenants" description:"tenants that send the calls, with keys that change, and one of them ten times as much as its quota allows"`
	StatementRate float64 `long:"statement-rate" description:"instances per second that begin to state limits on their requests in their answers, or that they leave, beside the faults"`
	HeavyRate     float64 `long:"heavy-rate" description:"calls per second of large answers and of three priorities, at times up to five times as many, to instances that state their load and are slow at times"`
	ColdRate      float64 `long:"cold-rate" description:"instances per second that turn cold while they run, beside the faults; their entries say so at once, late or never"`
	Regressions   bool    `long:"regressions" description:"play the soaks that once broke a promise, as they were played"`
	JSON          bool    `long:"json" description:"print the reports as JSON"`
	Chart         string  `long:"report" value-name:"FILE" description:"draw how long changes took and what was served, over time (.png, .svg, .pdf)"`
	Verbose       bool    `long:"verbose" description:"print what the nodes log"`
}

// Execute runs the soak tests and prints a line for each seed.
func (c *storeSoakCommand) Execute([]string) error {
	binary, remove, err := c.binary(c.environment)
	if err != nil {
		return err
	}
	defer remove()
	plan := c.plan()
	var reports []storesoak.Report
	failed := 0
	for _, options := range plan {
		options.Binary, options.Progress = binary, c.stderr
		if c.Verbose {
			options.Logs = c.stderr
		}
		report, err := storesoak.Run(c.ctx, options)
		if err != nil {
			return eris.Wrapf(err, "soak test with seed %d", options.Seed)
		}
		reports = append(reports, report)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if err := c.print(reports); err != nil {
		return err
	}
	if c.Chart != "" {
		if err := soakChart(reports).Save(c.Chart); err != nil {
			return err
		}
	}
	if failed > 0 {
		return eris.Errorf("guarantees were violated with %d of %d seeds", failed, len(plan))
	}
	return nil
}

// plan returns the options of the soak tests to run.
func (c *storeSoakCommand) plan() (tests []storesoak.Options) {
	if c.Regressions {
		for _, each := range storesoak.Regressions {
			tests = append(tests, each.Options())
		}
		return tests
	}
	for i := range c.Seeds {
		tests = append(tests, storesoak.Options{
			Seed: c.Seed + uint64(i), Machines: c.Machines, Zones: c.Zones, Routes: c.Routes, SlowestLink: c.SlowestLink,
			CPULoadProcesses: c.Busy, Faults: c.Faults, Rate: c.Rate, CrashRate: c.CrashRate, ReplacementRate: c.LeaveRate, RestoreShare: c.RestoreShare,
			Tenants: c.Tenants, StatementRate: c.StatementRate, HeavyRate: c.HeavyRate, ColdRate: c.ColdRate,
		})
	}
	return tests
}

// soakChart returns a chart with two lines for each soak test: how long each change took until
// it was in force on the last machine, and the share of calls that were served.
func soakChart(reports []storesoak.Report) chart.Lines {
	lines := chart.Lines{
		Title: "Changes and calls under faults", XLabel: "seconds since the start",
		YLabel: "seconds until in force on the last machine; share of calls served",
	}
	for _, report := range reports {
		slowest := chart.Series{Name: fmt.Sprintf("seed %d, in force", report.Seed)}
		for _, each := range report.Versions {
			slowest.X, slowest.Y = append(slowest.X, each.At), append(slowest.Y, each.Slowest)
		}
		served := chart.Series{Name: fmt.Sprintf("seed %d, served", report.Seed)}
		for second, share := range report.ServedShare {
			served.X, served.Y = append(served.X, float64(second)), append(served.Y, share)
		}
		lines.Series = append(lines.Series, slowest, served)
	}
	return lines
}

func (c *storeSoakCommand) print(reports []storesoak.Report) error {
	if c.JSON {
		return printJSON(c.stdout, reports)
	}
	table := newTable(c.stdout, "SEED", "SECONDS", "FAULTS", "CHANGES", "SENT", "SERVED", "REFUSED", "FAILED",
		"DOUBLED", "RAN REFUSED", "WRONG", "UNTOLD", "UNASKED", "WENT BACK", "LOST", "LATE", "LATE CHANGES", "INVALID", "FELL OVER", "CRASHES", "AFTER THIRD", "SHUT OUT", "IN FORCE P50", "P99", "MAX", "REPEATS", "NO KEY", "LATE REVOKED", "WRONG 401", "QUOTA", "LIMITS", "LIMIT SHARE", "LEAVINGS", "AFTER LEAVING")
	for _, r := range reports {
		table.row(r.Seed, fmt.Sprintf("%.0f", r.Seconds), r.Faults, r.Changes, r.Sent, r.Served, r.Refused, r.Failed,
			r.RanTwice, r.RanRefused, r.Wrong, r.NoRetryAfter, r.UnmatchedRuns, r.RolledBack, r.Lost, r.LateAnswers, r.LateChanges, r.Invalid, r.ColdOverloads, r.Crashes, r.AfterThirdCrash, r.WronglyRefused,
			fmt.Sprintf("%.3f", r.InForce.P50), fmt.Sprintf("%.3f", r.InForce.P99), fmt.Sprintf("%.3f", r.InForce.Max), fmt.Sprintf("%.2f", r.RetryBoundShare),
			r.Unauthenticated, r.LateRevocations, r.WronglyUnauthenticated, fmt.Sprintf("%.2f", r.QuotaBoundShare),
			r.StatedLimits, fmt.Sprintf("%.2f", r.LimitBoundShare), r.StatedLeavings, fmt.Sprintf("%.3f", r.LastAfterLeaving))
	}
	table.flush()
	for _, r := range reports {
		for _, violation := range r.Violations {
			_, _ = fmt.Fprintf(c.stdout, "seed %d: broken: %s\n", r.Seed, violation)
		}
	}
	return nil
}
