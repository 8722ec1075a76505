// Package soak runs a deployment of real node processes under load and random
// faults, one or two at a time, and then checks the guarantees to callers. The same
// seed gives the same order of faults.
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

// Options configures a soak test of one deployment.
type Options struct {
	Deployment *deployment.Deployment
	Workload   load.Workload
	// Binary is the path of the winchhead binary.
	Binary   string
	Duration time.Duration
	Seed     uint64
	// Rate is the arrival rate in calls per second.
	Rate float64
	// Progress receives a line about each step; nil discards them.
	Progress io.Writer
	// Logs receives the logs of the nodes; nil discards them.
	Logs io.Writer
}

// Report is the result of one soak test.
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
	// Broken lists the violated guarantees. The test has passed if it is empty.
	Broken []string `json:"broken"`
}

// Times of a soak test.
const (
	startTimeout = 60 * time.Second
	// Range of the duration of a fault and of the pause after it.
	shortestFault, longestFault = 500 * time.Millisecond, 5 * time.Second
	shortestPause, longestPause = 300 * time.Millisecond, 2 * time.Second
	// recoveryTimeout limits how long the fleet may take to recover completely after
	// the last fault.
	recoveryTimeout = 90 * time.Second
)

// run is the state of one soak test.
type run struct {
	options Options
	mesh    *mesh.Mesh
	random  *rand.Rand
	monitor *monitor
	report  Report
}

// Run runs the soak test. It returns an error if the test could not be run;
// violated guarantees are in the report.
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
	if closeErr := running.Close(); err == nil {
		err = closeErr
	}
	return r.report, err
}

func (r *run) soak(ctx context.Context) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.mesh.AwaitComplete(startCtx); err != nil {
		return eris.Wrap(err, "not every node became ready and saw all instances")
	}
	r.monitor = startMonitor(ctx, r.mesh)
	defer r.monitor.stop()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	record, loadErr := r.startLoad(loadCtx)
	started := time.Now()
	if err := r.injectFaults(ctx, started.Add(r.options.Duration)); err != nil {
		return err
	}
	stop()
	if err := <-loadErr; err != nil {
		return err
	}
	r.report.Seconds = time.Since(started).Seconds()
	if err := r.awaitRecovery(ctx); err != nil {
		r.addViolation("an accepted configuration is in force everywhere: %v", err)
	}
	r.monitor.stop()
	r.checkGuarantees(*record)
	return nil
}

// startLoad runs the load generator until ctx ends. The record is set once the
// channel has delivered the generator's error.
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

// injectFaults injects faults until the given time. On average one in three comes
// with a second fault at the same time, and one in three with a configuration change.
func (r *run) injectFaults(ctx context.Context, until time.Time) error {
	const oneIn = 3
	for time.Now().Before(until) && ctx.Err() == nil {
		current := []injectedFault{r.randomFault()}
		if second := r.randomFault(); r.random.IntN(oneIn) == 0 && second.target != current[0].target {
			current = append(current, second)
		}
		if err := r.applyFaults(ctx, current, r.random.IntN(oneIn) == 0); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (r *run) randomFault() injectedFault {
	return pickRandom(r.random, faultFactories)(r.random, r.mesh)
}

// applyFaults begins faults one after the other, waits for a random duration and
// undoes them in reverse order. A fault that cannot begin, such as a graceful shutdown
// that takes too long, is reported as progress and skipped.
func (r *run) applyFaults(ctx context.Context, faults []injectedFault, change bool) error {
	duration := r.randomDuration(shortestFault, longestFault)
	var active []injectedFault
	for _, fault := range faults {
		if err := fault.begin(ctx); err != nil {
			r.progress("skipped: %s: %v", fault.name, err)
			continue
		}
		r.report.Faults++
		r.progress("%s for %d ms", fault.name, duration.Milliseconds())
		active = append(active, fault)
	}
	if change {
		if err := r.changeConfiguration(); err != nil {
			return err
		}
	}
	if err := wait.For(ctx, duration); err != nil {
		return err
	}
	for i := len(active) - 1; i >= 0; i-- {
		if err := active[i].undo(ctx); err != nil {
			r.progress("undo %s: %v", active[i].name, err)
		}
	}
	return wait.For(ctx, r.randomDuration(shortestPause, longestPause))
}

func (r *run) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.random.Int64N(int64(longest-shortest)))
}

// changeConfiguration publishes a revision that adds a comment to a random policy,
// which doesn't change its behavior.
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
	r.progress("published revision %d", version.Revision)
	return nil
}

// awaitRecovery waits until every node is ready, sees all instances and holds the
// last revision.
func (r *run) awaitRecovery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := r.mesh.AwaitComplete(ctx); err != nil {
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
