package storesoak_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/bench/storesoak"
)

// TestGuaranteesHoldUnderFaults runs short soaks of real processes, and the small regressions.
// Guarantees with a time bound are left to the command, as the machine that runs the tests may
// be busy.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	binary, remove, err := mesh.BuildBinary(context.Background())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(remove)
	soaks := []storesoak.Regression{{
		Seed: 1, Machines: storesoak.MinMachines, Zones: 2, Routes: 20, Faults: 3, Rate: 60, Cause: "a short soak",
	}, {
		Seed: 2, Machines: 12, Zones: 3, Routes: 1000, SlowestLink: 10, Faults: 8, Rate: 60, Cause: "large configurations on slow links",
	}, {
		Seed: 3, Machines: 12, Zones: 3, Routes: 20, Faults: 5, Rate: 60, CrashRate: 6, Cause: "requests that crash instances",
	}, {
		Seed: 4, Machines: 12, Zones: 3, Routes: 1000, SlowestLink: 10, Faults: 4, Rate: 100, ReplacementRate: 1.5, Cause: "instances that are replaced during large configuration changes",
	}, {
		Seed: 5, Machines: 12, Zones: 3, Routes: 200, Faults: 5, Rate: 100, ReplacementRate: 1, RestoreShare: 0.6, Cause: "a store that is restored from a backup",
	}, {
		Seed: 6, Machines: 12, Zones: 3, Routes: 20, Faults: 5, Rate: 100, Tenants: 4, Cause: "tenants whose keys change",
	}, {
		Seed: 7, Machines: 12, Zones: 3, Routes: 20, Faults: 6, Rate: 150, StatementRate: 1, Cause: "instances that state limits and leavings in their answers",
	}, {
		Seed: 8, Machines: storesoak.MinMachines, Zones: 2, Routes: 20, Faults: 2, Rate: 60, HeavyRate: 40, Cause: "large answers, routes of three priorities and instances that state their load",
	}, {
		Seed: 9, Machines: 12, Zones: 3, Routes: 20, Faults: 6, Rate: 250, ColdRate: 1, Cause: "instances that turn cold while they run",
	}}
	for _, each := range storesoak.Regressions {
		if each.Machines == storesoak.MinMachines { // the command replays the larger ones
			soaks = append(soaks, each)
		}
	}
	for _, each := range soaks {
		t.Run(fmt.Sprint(each.Seed), func(t *testing.T) {
			c := qt.New(t)
			options := each.Options()
			options.Binary = binary
			report, err := storesoak.Run(context.Background(), options)
			c.Assert(err, qt.IsNil)
			c.Logf("%+v", report)
			c.Check(report.Served > 0, qt.IsTrue)
			c.Check(report.RanTwice, qt.Equals, 0)
			c.Check(report.RanRefused, qt.Equals, 0)
			c.Check(report.Wrong, qt.Equals, 0)
			c.Check(report.NoRetryAfter, qt.Equals, 0)
			c.Check(report.UnmatchedRuns, qt.Equals, 0)
			c.Check(report.RolledBack, qt.Equals, 0)
			c.Check(report.Invalid, qt.Equals, 0)
			c.Check(report.ColdOverloads, qt.Equals, 0)
			c.Check(report.MostWhileCold > 0, qt.Equals, each.ColdRate > 0)
			c.Check(report.RetryBoundShare <= 1, qt.IsTrue)
			c.Check(report.Crashes > 0, qt.Equals, each.CrashRate > 0)
			c.Check(report.AfterThirdCrash <= 3, qt.IsTrue)
			c.Check(report.WronglyRefused, qt.Equals, 0)
			c.Check(report.Unauthenticated, qt.Equals, 0)
			c.Check(report.QuotaBoundShare <= 1, qt.IsTrue)
			c.Check(report.QuotaBoundShare > 0, qt.Equals, each.Tenants > 0)
			c.Check(report.LimitBoundShare <= 1, qt.IsTrue)
			c.Check(report.StatedLimits > 0, qt.Equals, each.StatementRate > 0)
			c.Check(report.HeavyLoad.PacksServed > 0, qt.Equals, each.HeavyRate > 0)
			c.Check(report.Withdrawals > 0 || each.ReplacementRate == 0, qt.IsTrue)
		})
	}
}
