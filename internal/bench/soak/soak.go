// Package soak runs a deployment of real node processes under load and random
// faults, one or two at a time, and judges the promises to callers afterwards.
// The same seed gives the same order of faults.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wait"
)

// Options sets up a soak of one deployment.
type Options struct {
	Deployment *deployment.Deployment
	Workload   load.Workload
	// Binary is the winchhead binary.
	Binary   string
	Duration time.Duration
	Seed     uint64
	// Rate is the arrival rate in calls per second.
	Rate float64
	// Progress takes one line per fault; nil drops it.
	Progress io.Writer
	// Logs takes what the nodes log; nil drops it.
	Logs io.Writer
}

// Report is the result of one soak.
type Report struct {
	Deployment string       `json:"deployment"`
	Seed       uint64       `json:"seed"`
	Seconds    float64      `json:"seconds"`
	Faults     int          `json:"faults"`
	Changes    int          `json:"configuration_changes"`
	Calls      load.Summary `json:"calls"`
	Doubled    int          `json:"doubled"`
	Lost       int          `json:"lost"`
	RanRefused int          `json:"ran_though_refused"`
	Wrong      int          `json:"wrong"`
	// Broken names each broken promise; empty is the only good result.
	Broken []string `json:"broken"`
}

// Times of a soak.
const (
	startTimeout = 60 * time.Second
	// faultSpan and calmSpan bound how long a fault lasts and the pause after it.
	shortestFault, longestFault = 500 * time.Millisecond, 5 * time.Second
	shortestCalm, longestCalm   = 300 * time.Millisecond, 2 * time.Second
	// healTimeout bounds the return to a whole fleet after the last fault.
	healTimeout = 90 * time.Second
)

// run is the state of one soak.
type run struct {
	options Options
	mesh    *mesh.Mesh
	random  *rand.Rand
	monitor *monitor
	report  Report
}

// Run soaks one deployment. The error tells that the soak could not be run; a
// broken promise is in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	running, err := mesh.Start(ctx, mesh.Options{
		Deployment: options.Deployment,
		Binary:     options.Binary,
		Logs:       options.Logs,
		Hops:       []mesh.Hop{mesh.HopBackend, mesh.HopData},
	})
	if err != nil {
		return Report{}, err
	}
	r := &run{
		options: options,
		mesh:    running,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		report:  Report{Deployment: options.Deployment.Name, Seed: options.Seed, Broken: []string{}},
	}
	err = r.soak(ctx)
	if closeError := running.Close(); err == nil {
		err = closeError
	}
	return r.report, err
}

func (r *run) soak(ctx context.Context) error {
	whole, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.mesh.AwaitWhole(whole); err != nil {
		return eris.Wrap(err, "the fleet did not become whole")
	}
	r.monitor = watch(ctx, r.mesh)
	defer r.monitor.stop()
	calls, stop := context.WithCancel(ctx)
	defer stop()
	record, loadError := r.startLoad(calls)
	started := time.Now()
	if err := r.disturb(ctx, started.Add(r.options.Duration)); err != nil {
		return err
	}
	stop()
	if err := <-loadError; err != nil {
		return err
	}
	r.report.Seconds = time.Since(started).Seconds()
	if err := r.heal(ctx); err != nil {
		r.broken("an accepted configuration is in force everywhere: %v", err)
	}
	r.monitor.stop()
	r.judge(*record)
	return nil
}

// startLoad runs the generator until its context ends. The record is there once
// the channel has answered.
func (r *run) startLoad(ctx context.Context) (**load.Record, <-chan error) {
	record := new(*load.Record)
	ended := make(chan error, 1)
	transport := load.NewTransport()
	go func() {
		var err error
		*record, err = load.Run(ctx, load.Options{
			Rate: r.options.Rate, Plan: r.options.Workload.Planner("soak", r.options.Seed),
			Entries: r.mesh.Entries, Transport: http.RoundTripper(transport),
		})
		transport.CloseIdleConnections()
		ended <- err
	}()
	return record, ended
}

// disturb causes faults until the time is over. One in three gets company by a
// second one, and one in three by a change of the configuration.
func (r *run) disturb(ctx context.Context, until time.Time) error {
	const oneIn = 3
	for time.Now().Before(until) && ctx.Err() == nil {
		current := []disturbance{r.choose()}
		if second := r.choose(); r.random.IntN(oneIn) == 0 && second.target != current[0].target {
			current = append(current, second)
		}
		if err := r.cause(ctx, current, r.random.IntN(oneIn) == 0); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (r *run) choose() disturbance { return pick(r.random, choosers)(r.random, r.mesh) }

// cause begins faults one after the other, lets them last and undoes them in
// reverse. A fault that cannot begin, such as a planned stop that takes too
// long, is reported and left out.
func (r *run) cause(ctx context.Context, faults []disturbance, change bool) error {
	lasting := r.between(shortestFault, longestFault)
	var begun []disturbance
	for _, fault := range faults {
		if err := fault.begin(ctx); err != nil {
			r.progress("left out: %s: %v", fault.name, err)
			continue
		}
		r.report.Faults++
		r.progress("%s for %d ms", fault.name, lasting.Milliseconds())
		begun = append(begun, fault)
	}
	if change {
		if err := r.changeConfiguration(); err != nil {
			return err
		}
	}
	if err := wait.For(ctx, lasting); err != nil {
		return err
	}
	for i := len(begun) - 1; i >= 0; i-- {
		if err := begun[i].undo(ctx); err != nil {
			r.progress("undo %s: %v", begun[i].name, err)
		}
	}
	return wait.For(ctx, r.between(shortestCalm, longestCalm))
}

func (r *run) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.random.Int64N(int64(longest-shortest)))
}

// changeConfiguration publishes a revision that changes the text of a policy and
// nothing that it means.
func (r *run) changeConfiguration() error {
	version, err := r.mesh.Platform.Change(func(content *snapshot.Content) error {
		if len(content.Policies) == 0 {
			return eris.New("the deployment has no policy")
		}
		policy := &content.Policies[r.random.IntN(len(content.Policies))]
		policy.Program += fmt.Sprintf("# change %d\n", r.report.Changes+1)
		return nil
	})
	if err != nil {
		return err
	}
	r.report.Changes++
	r.progress("revision %d is published", version.Revision)
	return nil
}

// heal waits until the fleet is whole again and holds the last revision.
func (r *run) heal(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healTimeout)
	defer cancel()
	if err := r.mesh.AwaitWhole(ctx); err != nil {
		return err
	}
	_, err := r.mesh.AwaitRevision(ctx, r.mesh.Platform.Version().Revision)
	return err
}

func (r *run) progress(format string, values ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, "%s %s: %s\n",
			time.Now().Format("15:04:05.000"), r.options.Deployment.Name, fmt.Sprintf(format, values...))
	}
}
