package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// FaultsOptions set up a run of the table of fault cases. Zero fields take
// defaults.
type FaultsOptions struct {
	Settings
	// Scale shortens the durations that the cases name, such as the ten minutes of
	// an outage of the source. The timing of the nodes stays.
	Scale float64
	// Patience bounds each wait for the fleet to converge.
	Patience time.Duration
	// StepLimit fails a case when the fleet takes longer to converge, once
	// connected. It is a threshold in time, for runs on a machine of their own.
	StepLimit time.Duration
	// Only limits the run to the cases of these names.
	Only []string
	// Progress, if set, is told what the run is at.
	Progress func(line string)
}

// Defaults of FaultsOptions.
const (
	defaultScale          = 0.1
	defaultFaultsPatience = 60 * time.Second
	// defaultStepLimit is what the users ask: in force everywhere within 11 s.
	defaultStepLimit = 11 * time.Second
	// shownFaults bounds what one row tells.
	shownFaults = 5
)

func (o FaultsOptions) withDefaults() FaultsOptions {
	o.Settings = o.Settings.withDefaults()
	o.Patience = orDefault(o.Patience, defaultFaultsPatience)
	o.StepLimit = orDefault(o.StepLimit, defaultStepLimit)
	if o.Scale <= 0 {
		o.Scale = defaultScale
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	return o
}

// FaultsReport tells how the fleet came through the fault cases.
type FaultsReport struct {
	Nodes  int        `json:"nodes"`
	Scale  float64    `json:"scale"`
	Seed   uint64     `json:"seed"`
	Rows   []FaultRow `json:"rows"`
	Failed int        `json:"failed"`
}

// FaultRow is the outcome of one case.
type FaultRow struct {
	Name string `json:"name"`
	// Promise is what the case guards.
	Promise string `json:"promise"`
	Passed  bool   `json:"passed"`
	// Faults tell why the case failed.
	Faults []string `json:"faults,omitempty"`
	// Steps tell how long each wait for the fleet took.
	Steps []FaultStep `json:"steps"`
	// SourceReadersMax are the nodes that asked the platform at one time, at most.
	SourceReadersMax   int `json:"source_readers_max"`
	SourceReadersLimit int `json:"source_readers_limit"`
	// StepSecondsMax is the longest of the steps, the cold start aside.
	StepSecondsMax float64 `json:"step_seconds_max"`
	Seconds        float64 `json:"seconds"`
}

// FaultStep is one wait for the fleet.
type FaultStep struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
}

// Faults runs the table of fault cases, each on a fleet of its own. Cases that
// fail are in the report; the error is for what kept a case from being tried.
func Faults(ctx context.Context, options FaultsOptions) (*FaultsReport, error) {
	options = options.withDefaults()
	report := &FaultsReport{Nodes: options.Nodes, Scale: options.Scale, Seed: options.Seed}
	chosen, err := chooseCases(options.Only)
	if err != nil {
		return nil, err
	}
	for _, tried := range chosen {
		options.Progress(tried.name)
		row, err := runCase(ctx, options, tried)
		if err != nil {
			return report, eris.Wrapf(err, "case %q", tried.name)
		}
		report.Rows = append(report.Rows, *row)
		if !row.Passed {
			report.Failed++
		}
		options.Progress(row.summary())
	}
	return report, nil
}

func chooseCases(only []string) ([]faultCase, error) {
	all := faultCases()
	if len(only) == 0 {
		return all, nil
	}
	var chosen []faultCase
	for _, name := range only {
		at := slices.IndexFunc(all, func(c faultCase) bool { return c.name == name })
		if at < 0 {
			return nil, eris.Errorf("no fault case %q", name)
		}
		chosen = append(chosen, all[at])
	}
	return chosen, nil
}

// FaultNames lists the fault cases in the order of the table.
func FaultNames() []string {
	var names []string
	for _, known := range faultCases() {
		names = append(names, known.name)
	}
	return names
}

// shorten keeps the first faults, which tell most.
func (r *FaultRow) shorten() {
	if more := len(r.Faults) - shownFaults; more > 0 {
		r.Faults = append(r.Faults[:shownFaults:shownFaults], fmt.Sprintf("and %d more", more))
	}
}

func (r *FaultRow) summary() string {
	if r.Passed {
		return fmt.Sprintf("%s: passed in %.1f s", r.Name, r.Seconds)
	}
	return fmt.Sprintf("%s: FAILED: %v", r.Name, r.Faults)
}

// runCase starts a fleet, tries the case on it and checks what must hold after
// any case: a further change converges, no node went back, none held a part and
// the platform's limit was kept.
func runCase(ctx context.Context, options FaultsOptions, tried faultCase) (*FaultRow, error) {
	fleet, err := New(options.Settings)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	t := &trial{Fleet: fleet, options: options, row: &FaultRow{Name: tried.name, Promise: tried.promise}}
	if err := t.try(ctx, tried); err != nil {
		t.fail(err)
	}
	t.checkAfter(ctx)
	if err := fleet.Close(); err != nil {
		t.fail(err)
	}
	t.row.Seconds = time.Since(began).Seconds()
	t.row.Passed = len(t.row.Faults) == 0
	t.row.shorten()
	return t.row, ctx.Err()
}
