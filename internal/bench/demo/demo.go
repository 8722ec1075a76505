// Package demo shows the main job on the Montevideo deployment: a policy is
// submitted, revised, revised badly and withdrawn, and each state is tried with
// requests. It checks all that it shows.
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// The programs of the policy, in the order of their revisions.
var (
	//go:embed policies/submitted.star
	submittedProgram string
	//go:embed policies/revised.star
	revisedProgram string
	//go:embed policies/refused.star
	refusedProgram string
)

// policyName is the policy that the demo submits; messages about a bad revision
// name it as the file.
const policyName = "trips.star"

// demoSecret is what the policy attaches to bookings.
var demoSecret = snapshot.Secret{Name: "demo-token", Value: "shown-nowhere"}

// startTimeout bounds how long the fleet may take to become whole; stepTimeout
// bounds each later step.
const (
	startTimeout = 20 * time.Second
	stepTimeout  = 10 * time.Second
)

// shortGrace is how long a node's stop at the end may take.
const shortGrace = 100 * time.Millisecond

// Options sets up a run.
type Options struct {
	// Deployment must have the services of Montevideo.
	Deployment *deployment.Deployment
	// Output takes what people read.
	Output io.Writer
	// Logs takes what the nodes log; nil drops it.
	Logs io.Writer
}

// run is the state of one demo.
type run struct {
	mesh    *mesh.Mesh
	output  io.Writer
	started time.Time
	caller  *caller
}

// Run runs the demo and returns nil only if all that it shows held.
func Run(ctx context.Context, options Options) error {
	plan := *options.Deployment
	plan.Content.Policies = nil
	plan.Content.Secrets = append(plan.Content.Secrets, demoSecret)
	started := time.Now()
	running, err := mesh.Start(ctx, mesh.Options{
		Deployment: &plan, Logs: options.Logs,
		// Nothing is in progress at the end, so that no stop has to wait.
		Overrides: settings.Overrides{"inbound.drain_grace": shortGrace.String()},
	})
	if err != nil {
		return err
	}
	r := &run{mesh: running, output: options.Output, started: started, caller: newCaller(running)}
	err = r.steps(ctx)
	if closeError := running.Close(); err == nil {
		err = closeError
	}
	if err == nil {
		r.say("all that was shown held")
	}
	return err
}

// steps shows one state after the other.
func (r *run) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		r.start, r.submit, r.revise, r.refuse, r.withdraw, r.audit,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// say prints one line after the time since the start.
func (r *run) say(format string, values ...any) {
	_, _ = fmt.Fprintf(r.output, "%6.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.say("starting the platform, %d back ends and %d nodes over loopback TCP", len(r.mesh.Backends()), len(r.mesh.Nodes()))
	if err := r.mesh.AwaitWhole(ctx); err != nil {
		return eris.Wrap(err, "the fleet did not become whole")
	}
	r.say("every node holds revision %d, which has no policy yet, and sees every instance", r.mesh.Platform.Version().Revision)
	return r.caller.try(r, requests{trips: load.NotRun, bookings: load.NotRun, patients: load.NotRun})
}

func (r *run) submit(ctx context.Context) error {
	err := r.change(ctx, "submitted", func() (snapshot.Version, error) {
		return r.mesh.Platform.Submit(snapshot.Policy{Name: policyName, Program: submittedProgram})
	})
	if err != nil {
		return err
	}
	return r.caller.try(r, requests{trips: load.Answered, bookings: load.Answered, patients: load.NotRun})
}

func (r *run) revise(ctx context.Context) error {
	err := r.change(ctx, "revised", func() (snapshot.Version, error) {
		return r.mesh.Platform.Revise(snapshot.Policy{Name: policyName, Program: revisedProgram})
	})
	if err != nil {
		return err
	}
	return r.caller.try(r, requests{trips: load.Answered, bookings: load.Answered, patients: load.Answered})
}

// refuse submits a bad revision. Only the nodes that read the platform see it,
// as no node passes on what it did not adopt.
func (r *run) refuse(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	before := r.mesh.Platform.Version().Revision
	version, err := r.mesh.Platform.Revise(snapshot.Policy{Name: policyName, Program: refusedProgram})
	if err != nil {
		return err
	}
	reason, err := r.mesh.AwaitRefusal(ctx, version.Revision)
	if err != nil {
		return eris.Wrap(err, "the bad revision was not refused everywhere")
	}
	r.say("revised badly: revision %d is refused whole on every node, because:", version.Revision)
	r.say("    %s", reason)
	if err := r.holdsExactly(ctx, before); err != nil {
		return err
	}
	return r.caller.try(r, requests{trips: load.Answered, bookings: load.Answered, patients: load.Answered})
}

// holdsExactly checks that every node still holds a revision.
func (r *run) holdsExactly(ctx context.Context, revision snapshot.Revision) error {
	for _, node := range r.mesh.Nodes() {
		status, err := node.Admin().Status(ctx)
		if err != nil {
			return err
		}
		if status.Held.Revision != revision {
			return eris.Errorf("%s holds revision %d, want %d", node.Name(), status.Held.Revision, revision)
		}
	}
	r.say("every node still holds revision %d", revision)
	return nil
}

func (r *run) withdraw(ctx context.Context) error {
	err := r.change(ctx, "withdrawn", func() (snapshot.Version, error) {
		return r.mesh.Platform.Withdraw(policyName)
	})
	if err != nil {
		return err
	}
	return r.caller.try(r, requests{trips: load.NotRun, bookings: load.NotRun, patients: load.NotRun})
}

// change makes one change in the platform and shows how it came into force.
func (r *run) change(ctx context.Context, verb string, apply func() (snapshot.Version, error)) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	before, err := r.mesh.ControlBytes(ctx)
	if err != nil {
		return err
	}
	changed := time.Now()
	version, err := apply()
	if err != nil {
		return err
	}
	inForce, err := r.mesh.AwaitRevision(ctx, version.Revision)
	if err != nil {
		return eris.Wrapf(err, "revision %d did not come into force everywhere", version.Revision)
	}
	after, err := r.mesh.ControlBytes(ctx)
	if err != nil {
		return err
	}
	r.say("%s: revision %d in force on %d nodes after %d ms, with %d control bytes in all",
		verb, version.Revision, len(r.mesh.Nodes()), inForce.Sub(changed).Milliseconds(), after-before)
	return nil
}

func (r *run) audit(context.Context) error {
	audit := r.caller.audit()
	if !audit.Kept() {
		return eris.Errorf("the back ends' journals contradict the answers: %+v", audit)
	}
	r.say("the back ends' journals agree: nothing ran twice, nothing was lost, nothing refused ran")
	return nil
}
