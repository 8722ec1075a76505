package storesoak

// Regression holds the settings of a soak that once violated a guarantee.
type Regression struct {
	Seed uint64
	// Machines, Zones, Routes, SlowestLink, CPULoadProcesses, Faults and Rate are as in Options.
	Machines, Zones, Routes  int
	SlowestLink              float64
	CPULoadProcesses, Faults int
	Rate                     float64
	// CrashRate is as in Options.
	CrashRate float64
	// ReplacementRate is as in Options.
	ReplacementRate float64
	// RestoreShare is as in Options.
	RestoreShare float64
	// Tenants is as in Options.
	Tenants int
	// StatementRate is as in Options.
	StatementRate float64
	// HeavyRate is as in Options.
	HeavyRate float64
	// ColdRate is as in Options.
	ColdRate float64
	// Kinds is how many kinds of faults existed when the violation was found.
	Kinds int
	// Cause describes the defect in one line.
	Cause string
}

// Options returns the options of the soak, without the binary and the outputs.
func (r Regression) Options() Options {
	return Options{
		Seed: r.Seed, Machines: r.Machines, Zones: r.Zones, Routes: r.Routes, SlowestLink: r.SlowestLink, CPULoadProcesses: r.CPULoadProcesses,
		Faults: r.Faults, Rate: r.Rate, CrashRate: r.CrashRate, ReplacementRate: r.ReplacementRate, RestoreShare: r.RestoreShare, Tenants: r.Tenants, StatementRate: r.StatementRate, HeavyRate: r.HeavyRate, ColdRate: r.ColdRate, Kinds: r.Kinds,
	}
}

// Regressions are replayed by the command, those with MinMachines machines by the tests too.
// The seed determines the order of faults, but their timing relative to requests varies between
// runs; therefore each cause also has its own deterministic test.
var Regressions = []Regression{
	{
		Seed: 32, Machines: 74, Zones: 3, Routes: 3000, SlowestLink: 10, CPULoadProcesses: 8, Faults: 14, Rate: 300, Kinds: 20,
		Cause: "reads of the store hit their own timeout and started over from the beginning (TestStoreLargeChangeOnASlowLink)",
	},
	{
		Seed: 42, Machines: 74, Zones: 3, Routes: 3000, SlowestLink: 10, CPULoadProcesses: 8, Faults: 14, Rate: 300, Kinds: 20,
		Cause: "readers that got a Retry-After of 5 s all waited that long (TestSourceRecoversBeforeRetryAfter)",
	},
	{
		Seed: 5002, Machines: 80, Zones: 4, Routes: 3000, SlowestLink: 5, Faults: 10, Rate: 200, ReplacementRate: 3, Kinds: 22,
		Cause: "a list with an unusable configuration kept an old one in force (TestNoDocumentFromListWithInvalidConfiguration)",
	},
	{
		Seed: 21022, Machines: 12, Zones: 3, Routes: 20, Faults: 7, Rate: 150, ReplacementRate: 0.2, StatementRate: 1, Kinds: 25,
		Cause: "what had started under a higher limit did not count against a lower one (TestLimitFallsWhileRequestsAreInProgress)",
	},
}
