// Package storesoak runs a fleet of real node processes on an emulated key-value store, with
// emulated instances and proxies between the nodes, under load and random faults that are
// injected from outside the processes. It checks the guarantees of the software against what
// callers and instances recorded. The same seed gives the same faults in the same order.
package storesoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/wait"
)

// Options configures a soak.
type Options struct {
	// Binary is the winchhead binary.
	Binary string
	Seed   uint64
	// Machines and Zones are the size of the fleet.
	Machines, Zones int
	// Routes is how many routes can be added in total; a third of them exists from the start.
	Routes int
	// SlowestLink is the rate of the slowest machines' links in Mbit/s; zero: no limit.
	SlowestLink float64
	// CPULoadProcesses is how many further processes each keep one CPU busy.
	CPULoadProcesses int
	// Faults is how many faults are injected.
	Faults int
	// Rate is the average number of calls per second.
	Rate float64
	// CrashRate is how many calls per second crash the instances that run them; zero: none.
	CrashRate float64
	// ReplacementRate is how many instances per second are drained and replaced in addition to the
	// faults; configuration changes then come in quick succession. Zero: none.
	ReplacementRate float64
	// RestoreShare is the share of faults that restore the store from a backup; the others are
	// drawn from all kinds.
	RestoreShare float64
	// StatementRate is how many instances per second begin to state in their answers that they limit their
	// requests, or that they leave, in addition to the faults; zero: none.
	StatementRate float64
	// HeavyRate is how many calls per second of large answers and of three priorities are sent, some times
	// more than their instances can run, which are slow at times; zero: none.
	HeavyRate float64
	// ColdRate is how many instances per second turn cold while they run, in addition to the faults; their
	// entries say so at once, late or never. Zero: none.
	ColdRate float64
	// work emulates the work of a request; nil: work.
	work func(id string, gone <-chan struct{})
	// Tenants is how many tenants send the calls, with keys that change; zero: nobody needs a key.
	Tenants int
	// requestTimeout is the time-out of the routes; zero: routeTimeoutMillis.
	requestTimeout time.Duration
	// Progress gets one line for each fault and violation, Logs the nodes' output; nil discards
	// them.
	Progress, Logs io.Writer
	// Kinds limits the faults to the first kinds; zero: all. New kinds are added at the end, so
	// that a recorded soak replays the same faults.
	Kinds int
}

// Durations of a soak.
const (
	startTimeout                = 30 * time.Second
	healTimeout                 = 30 * time.Second
	shortestFault, longestFault = 400 * time.Millisecond, 3 * time.Second
	shortestPause, longestPause = 200 * time.Millisecond, 1500 * time.Millisecond
	// shortestGap and longestGap bound the time between changes in quick succession.
	shortestGap, longestGap = 80 * time.Millisecond, 300 * time.Millisecond
	// recoveryTime is how long calls continue after the last fault; those of its second half
	// must be served.
	recoveryTime = 6 * time.Second
	// shortestWork and longestWork bound how long an instance takes for a request.
	shortestWork, longestWork = 2 * time.Millisecond, 40 * time.Millisecond
)

// soak is one soak in progress.
type soak struct {
	options Options
	fleet   *fleet
	random  *rand.Rand
	callers *callers
	history history
	report  Report
}

// Run runs a soak. It returns an error if the soak could not be run; violated guarantees are in
// the report.
func Run(ctx context.Context, options Options) (Report, error) {
	stopBusy, err := startCPULoad(ctx, options.CPULoadProcesses)
	if err != nil {
		return Report{}, err
	}
	defer stopBusy()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	began := time.Now()
	running, err := startFleet(starting, options)
	if err != nil {
		return Report{}, err
	}
	defer running.close()
	s := &soak{
		options: options, fleet: running, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		callers: newCallers(running, options.Seed), report: Report{Seed: options.Seed, Violations: []string{}},
	}
	s.history.recordStart(running, began)
	err = s.run(ctx)
	return s.report, err
}

// work blocks for a time that depends only on the request id, or until the sender disconnects.
func work(id string, gone <-chan struct{}) {
	span := longestWork - shortestWork
	share := time.Duration(0)
	for _, letter := range id {
		share = share*31 + time.Duration(letter)
	}
	timer := time.NewTimer(shortestWork + (share%span+span)%span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
	}
}

func (s *soak) run(ctx context.Context) error {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	callsEnded := make(chan struct{})
	go func() {
		defer close(callsEnded)
		s.callers.run(calling, s.options.Rate)
	}()
	began := time.Now()
	background, stopBackground := context.WithCancel(calling)
	defer stopBackground()
	crashesEnded := make(chan struct{})
	go func() {
		defer close(crashesEnded)
		if s.options.CrashRate > 0 {
			s.callers.runCrashingCalls(background, s.options.CrashRate, s.options.Seed)
		}
	}()
	replacementsEnded := make(chan struct{})
	go func() {
		defer close(replacementsEnded)
		if s.options.ReplacementRate > 0 {
			s.replaceInstances(background, s.options.ReplacementRate)
		}
	}()
	statementsEnded := make(chan struct{})
	go func() {
		defer close(statementsEnded)
		if s.options.StatementRate > 0 {
			s.runStatements(background, s.options.StatementRate)
		}
	}()
	coldTurnsEnded := make(chan struct{})
	go func() {
		defer close(coldTurnsEnded)
		if s.options.ColdRate > 0 {
			s.turnInstancesCold(background, s.options.ColdRate)
		}
	}()
	go s.fleet.backups.run(background, s.fleet.store)
	finishHeavyLoad := s.startHeavyLoad(calling)
	err := s.injectFaults(ctx)
	stopBackground()
	<-crashesEnded
	<-replacementsEnded
	<-statementsEnded
	<-coldTurnsEnded
	if err == nil {
		err = finishHeavyLoad(ctx)
	}
	if err == nil {
		s.history.lastFaultEnded = time.Now()
		err = wait.For(ctx, recoveryTime)
	}
	stop()
	<-callsEnded
	s.report.Seconds = time.Since(began).Seconds()
	if err != nil {
		return err
	}
	s.check()
	return nil
}

// injectFaults injects the faults one after the other, one in three together with a second one,
// and changes the configuration during two of three.
func (s *soak) injectFaults(ctx context.Context) error {
	const oneIn = 3
	for s.report.Faults < s.options.Faults {
		current := []fault{s.drawFault()}
		second, together := s.drawFault(), s.random.IntN(oneIn) == 0
		if together && !second.overlaps(current[0]) {
			current = append(current, second)
		}
		withChanges := s.random.IntN(oneIn) > 0
		if err := s.applyFaults(ctx, current, withChanges); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) drawFault() fault {
	if s.options.RestoreShare > 0 && s.random.Float64() < s.options.RestoreShare {
		return restoreStore(s.random, s.fleet)
	}
	kinds := len(faultGenerators)
	if s.options.Kinds > 0 {
		kinds = s.options.Kinds
	}
	return faultGenerators[s.random.IntN(kinds)](s.random, s.fleet)
}

// applyFaults begins faults, holds them for their duration and undoes them.
func (s *soak) applyFaults(ctx context.Context, faults []fault, withChanges bool) error {
	duration, pause := s.drawDuration(shortestFault, longestFault), s.drawDuration(shortestPause, longestPause)
	for _, each := range faults {
		duration = max(duration, each.duration)
	}
	var spans []*faultSpan
	for _, each := range faults {
		s.report.Faults++
		s.progress("%s at %v for %d ms", each.name, each.machines, duration.Milliseconds())
		spans = append(spans, s.history.begin(each))
		if err := each.begin(ctx); err != nil {
			s.violation("fault %s could not be injected: %v", each.name, err)
		}
	}
	if err := s.holdFaults(ctx, duration, withChanges); err != nil {
		return err
	}
	for _, each := range faults {
		undoing, cancel := context.WithTimeout(ctx, healTimeout)
		if err := each.undo(undoing); err != nil {
			s.violation("fault %s could not be undone: %v", each.name, err)
		}
		cancel()
	}
	for _, each := range spans {
		s.history.end(each)
	}
	return wait.For(ctx, pause)
}

// holdFaults waits for the duration of faults. With withChanges it changes the configuration
// meanwhile, one in three times in quick succession.
func (s *soak) holdFaults(ctx context.Context, duration time.Duration, withChanges bool) error {
	const oneIn = 3
	end := time.Now().Add(duration)
	shortest, longest := shortestPause, longestPause
	if s.random.IntN(oneIn) == 0 || s.options.ReplacementRate > 0 {
		shortest, longest = shortestGap, longestGap
	}
	for withChanges && time.Now().Before(end) {
		s.changeConfiguration()
		if err := wait.For(ctx, min(s.drawDuration(shortest, longest), time.Until(end))); err != nil {
			return err
		}
	}
	return wait.For(ctx, time.Until(end))
}

// changeConfiguration writes the next version, and further ones until a valid one was written:
// the platform never keeps an invalid configuration for long.
func (s *soak) changeConfiguration() {
	for {
		written := s.fleet.catalog.writeRandom(s.random, s.options.Routes, s.fleet.writeConfiguration)
		s.report.Changes++
		if !written.invalid {
			return
		}
	}
}

func (s *soak) drawDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

func (s *soak) progress(format string, values ...any) {
	if s.options.Progress != nil {
		_, _ = fmt.Fprintf(s.options.Progress, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, values...))
	}
}

func (s *soak) violation(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	s.progress("BROKEN: %s", text)
	s.report.Violations = append(s.report.Violations, text)
}
