// Package overhead measures what the two hops of winchhead add to a call: the
// same calls go to one back end directly and through an edge, in turns within one
// run, so that both meet the same machine.
package overhead

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Options sets up a measurement.
type Options struct {
	Deployment *deployment.Deployment
	// Binary is the winchhead binary.
	Binary string
	// Rate is the arrival rate in calls per second.
	Rate float64
	// Turn is how long each way is measured at a time, Turns how often.
	Turn  time.Duration
	Turns int
	// Work is how long the back end works on a call.
	Work time.Duration
	// Progress is told of each turn; nil drops it.
	Progress func(way string, summary load.Summary)
}

// Report is the result of a measurement, in milliseconds.
type Report struct {
	Rate   float64        `json:"calls_per_second"`
	WorkMS float64        `json:"work_ms"`
	Turns  int            `json:"turns"`
	Direct load.Summary   `json:"direct"`
	Hops   load.Summary   `json:"two_hops"`
	Added  load.Latencies `json:"added_ms"`
}

const (
	startTimeout = 60 * time.Second
	callTimeout  = 2 * time.Second
	bodyBytes    = 500
	policyName   = "overhead.star"
	hostName     = "overhead.bench"
	path         = "/echo"
)

// Run measures with the first edge and the back end nearest to it.
func Run(ctx context.Context, options Options) (Report, error) {
	plan := *options.Deployment
	running, err := mesh.Start(ctx, mesh.Options{Deployment: &plan, Binary: options.Binary})
	if err != nil {
		return Report{}, err
	}
	report, err := measure(ctx, running, options)
	if closeError := running.Close(); err == nil {
		err = closeError
	}
	return report, err
}

func measure(ctx context.Context, running *mesh.Mesh, options Options) (Report, error) {
	edge := running.Edges()[0]
	target, err := nearest(running, edge)
	if err != nil {
		return Report{}, err
	}
	if err := prepare(ctx, running, target); err != nil {
		return Report{}, err
	}
	direct := newWay("direct", running.Backend(target.Name()).Address(), options)
	hops := newWay("two hops", edge.Outbound(), options)
	for turn := range options.Turns + 1 {
		for _, way := range []*way{direct, hops} {
			if err := way.turn(ctx, turn); err != nil {
				return Report{}, err
			}
		}
	}
	report := Report{
		Rate: options.Rate, WorkMS: options.Work.Seconds() * 1000, Turns: options.Turns,
		Direct: direct.total.Summary(), Hops: hops.total.Summary(),
	}
	report.Added = load.Latencies{
		P50: report.Hops.LatencyMS.P50 - report.Direct.LatencyMS.P50,
		P90: report.Hops.LatencyMS.P90 - report.Direct.LatencyMS.P90,
		P99: report.Hops.LatencyMS.P99 - report.Direct.LatencyMS.P99,
		Max: report.Hops.LatencyMS.Max - report.Direct.LatencyMS.Max,
	}
	return report, nil
}

// nearest returns a node beside a back end in the edge's zone.
func nearest(running *mesh.Mesh, edge *mesh.Node) (*mesh.Node, error) {
	for _, node := range running.Beside() {
		if node.Zone() == edge.Zone() {
			return node, nil
		}
	}
	return nil, eris.Errorf("no back end is in zone %s", edge.Zone())
}

// prepare publishes a route to the service of the target and waits for it.
func prepare(ctx context.Context, running *mesh.Mesh, target *mesh.Node) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := running.AwaitWhole(ctx); err != nil {
		return err
	}
	program := fmt.Sprintf("route(name=\"all\", host=%q, path=%q, to=%q, spill_over=1.0)\n", hostName, path, target.Service())
	version, err := running.Platform.Submit(snapshot.Policy{Name: policyName, Program: program})
	if err != nil {
		return err
	}
	_, err = running.AwaitRevision(ctx, version.Revision)
	return err
}

// way is one way for calls to reach the back end.
type way struct {
	name      string
	entries   *load.Entries
	transport *http.Transport
	options   Options
	total     *load.Record
}

func newWay(name, entry string, options Options) *way {
	return &way{name: name, entries: load.NewEntries(entry), transport: load.NewTransport(), options: options, total: load.NewRecord()}
}

// turn measures once. The first turn warms up and is not counted.
func (w *way) turn(ctx context.Context, turn int) error {
	record, err := load.Run(ctx, load.Options{
		Rate: w.options.Rate, Duration: w.options.Turn, Entries: w.entries, Transport: w.transport,
		Plan: func(number uint64) load.Call {
			return load.Call{
				ID: fmt.Sprintf("%s-%d-%d", w.name, turn, number), Method: http.MethodPost, Host: hostName, Path: path,
				BodyBytes: bodyBytes, Work: w.options.Work, Timeout: callTimeout,
			}
		},
	})
	if err != nil {
		return err
	}
	if turn > 0 {
		w.total.Merge(record)
	}
	if w.options.Progress != nil {
		w.options.Progress(w.name, record.Summary())
	}
	return ctx.Err()
}
