// Package demo demonstrates the main use case on the Montevideo deployment: a policy
// is submitted, revised, revised with an error and withdrawn. In each state it sends
// requests and checks their outcomes.
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

// The successive programs of the policy.
var (
	//go:embed policies/submitted.star
	submittedProgram string
	//go:embed policies/revised.star
	revisedProgram string
	//go:embed policies/refused.star
	refusedProgram string
)

// policyName is the name of the policy that the demo submits. Error messages about
// its program use it as the file name.
const policyName = "trips.star"

// demoSecret is the secret that the policy adds to booking requests.
var demoSecret = snapshot.Secret{Name: "demo-token", Value: "shown-nowhere"}

// startTimeout limits the time until every node is ready and sees all instances;
// stepTimeout limits each later step.
const (
	startTimeout = 20 * time.Second
	stepTimeout  = 10 * time.Second
)

// shortGrace is how long the graceful shutdown of a node waits for requests.
const shortGrace = 100 * time.Millisecond

// Options configures a run of the demo.
type Options struct {
	// Deployment must have the services of Montevideo.
	Deployment *deployment.Deployment
	// Output receives the text of the demo.
	Output io.Writer
	// Logs receives the logs of the nodes; nil discards them.
	Logs io.Writer
}

// run is the state of one run of the demo.
type run struct {
	mesh    *mesh.Mesh
	output  io.Writer
	started time.Time
	caller  *caller
}

// Run runs the demo. It returns nil only if all checks succeeded.
func Run(ctx context.Context, options Options) error {
	plan := *options.Deployment
	plan.Content.Policies = nil
	plan.Content.Secrets = append(plan.Content.Secrets, demoSecret)
	started := time.Now()
	running, err := mesh.Start(ctx, mesh.Options{
		Deployment: &plan, Logs: options.Logs,
		// No request is in progress at the end, so the nodes don't need to wait for any.
		Overrides: settings.Overrides{"inbound.drain_grace": shortGrace.String()},
	})
	if err != nil {
		return err
	}
	r := &run{mesh: running, output: options.Output, started: started, caller: newCaller(running)}
	err = r.steps(ctx)
	if closeErr := running.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		r.printf("all checks succeeded")
	}
	return err
}

// steps runs the steps of the demo in order.
func (r *run) steps(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		r.start, r.submit, r.revise, r.reviseInvalid, r.withdraw, r.audit,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// printf prints one line, preceded by the time since the start.
func (r *run) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(r.output, "%6.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.printf("starting the platform, %d back ends and %d nodes over loopback TCP", len(r.mesh.Backends()), len(r.mesh.Nodes()))
	if err := r.mesh.AwaitComplete(ctx); err != nil {
		return eris.Wrap(err, "not every node became ready and saw all instances")
	}
	r.printf("every node holds revision %d, which has no policy yet, and sees every instance", r.mesh.Platform.Version().Revision)
	return r.caller.sendAndCheck(r, expectedClasses{trips: load.NotRun, bookings: load.NotRun, patients: load.NotRun})
}

func (r *run) submit(ctx context.Context) error {
	err := r.change(ctx, "submitted", func() (snapshot.Version, error) {
		return r.mesh.Platform.Submit(snapshot.Policy{Name: policyName, Program: submittedProgram})
	})
	if err != nil {
		return err
	}
	return r.caller.sendAndCheck(r, expectedClasses{trips: load.Answered, bookings: load.Answered, patients: load.NotRun})
}

func (r *run) revise(ctx context.Context) error {
	err := r.change(ctx, "revised", func() (snapshot.Version, error) {
		return r.mesh.Platform.Revise(snapshot.Policy{Name: policyName, Program: revisedProgram})
	})
	if err != nil {
		return err
	}
	return r.caller.sendAndCheck(r, expectedClasses{trips: load.Answered, bookings: load.Answered, patients: load.Answered})
}

// reviseInvalid submits an invalid revision. Only the nodes that read from the
// platform see it, because nodes don't pass on what they haven't adopted.
func (r *run) reviseInvalid(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	before := r.mesh.Platform.Version().Revision
	version, err := r.mesh.Platform.Revise(snapshot.Policy{Name: policyName, Program: refusedProgram})
	if err != nil {
		return err
	}
	reason, err := r.mesh.AwaitRefusal(ctx, version.Revision)
	if err != nil {
		return eris.Wrap(err, "the invalid revision was not refused everywhere")
	}
	r.printf("revised with an error: revision %d is refused as a whole on every node, because:", version.Revision)
	r.printf("    %s", reason)
	if err := r.checkRevision(ctx, before); err != nil {
		return err
	}
	return r.caller.sendAndCheck(r, expectedClasses{trips: load.Answered, bookings: load.Answered, patients: load.Answered})
}

// checkRevision checks that every node still holds a revision.
func (r *run) checkRevision(ctx context.Context, revision snapshot.Revision) error {
	for _, node := range r.mesh.Nodes() {
		status, err := node.Admin().Status(ctx)
		if err != nil {
			return err
		}
		if status.Held.Revision != revision {
			return eris.Errorf("%s holds revision %d, want %d", node.Name(), status.Held.Revision, revision)
		}
	}
	r.printf("every node still holds revision %d", revision)
	return nil
}

func (r *run) withdraw(ctx context.Context) error {
	err := r.change(ctx, "withdrawn", func() (snapshot.Version, error) {
		return r.mesh.Platform.Withdraw(policyName)
	})
	if err != nil {
		return err
	}
	return r.caller.sendAndCheck(r, expectedClasses{trips: load.NotRun, bookings: load.NotRun, patients: load.NotRun})
}

// change makes one change on the platform, waits until it is in force on every node
// and prints how long that took.
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
	r.printf("%s: revision %d in force on %d nodes after %d ms, with %d control bytes in all",
		verb, version.Revision, len(r.mesh.Nodes()), inForce.Sub(changed).Milliseconds(), after-before)
	return nil
}

func (r *run) audit(context.Context) error {
	audit := r.caller.audit()
	if !audit.Passed() {
		return eris.Errorf("the back ends' journals contradict the outcomes that callers got: %+v", audit)
	}
	r.printf("the back ends' journals agree: no request ran twice, none was lost and no refused request ran")
	return nil
}
