// Package overhead measures the latency that the two proxy hops of winchhead add to a
// call. The same calls are sent to one backend directly and through an edge, in
// alternating turns of one run, so that both are measured under the same conditions.
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

// Options configures a measurement.
type Options struct {
	Deployment *deployment.Deployment
	// Binary is the path of the winchhead binary.
	Binary string
	// Rate is the arrival rate in calls per second.
	Rate float64
	// Turn is the duration of one turn, and Turns is the number of turns for each path.
	Turn  time.Duration
	Turns int
	// Work is how long the backend works on a call.
	Work time.Duration
	// Progress, if set, is called after each turn.
	Progress func(path string, summary load.Summary)
}

// Report is the result of a measurement. Times are in milliseconds.
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

// Run measures with the first edge and a backend in its zone.
func Run(ctx context.Context, options Options) (Report, error) {
	plan := *options.Deployment
	running, err := mesh.Start(ctx, mesh.Options{Deployment: &plan, Binary: options.Binary})
	if err != nil {
		return Report{}, err
	}
	report, err := measure(ctx, running, options)
	if closeErr := running.Close(); err == nil {
		err = closeErr
	}
	return report, err
}

func measure(ctx context.Context, running *mesh.Mesh, options Options) (Report, error) {
	edge := running.Edges()[0]
	target, err := sidecarInZone(running, edge)
	if err != nil {
		return Report{}, err
	}
	if err := publishRoute(ctx, running, target); err != nil {
		return Report{}, err
	}
	direct := newCallPath("direct", running.Backend(target.Name()).Address(), options)
	hops := newCallPath("two hops", edge.Outbound(), options)
	for turn := range options.Turns + 1 {
		for _, calls := range []*callPath{direct, hops} {
			if err := calls.measureTurn(ctx, turn); err != nil {
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

// sidecarInZone returns a sidecar in the edge's zone.
func sidecarInZone(running *mesh.Mesh, edge *mesh.Node) (*mesh.Node, error) {
	for _, node := range running.Sidecars() {
		if node.Zone() == edge.Zone() {
			return node, nil
		}
	}
	return nil, eris.Errorf("there is no back end in zone %s", edge.Zone())
}

// publishRoute publishes a route to the target's service and waits until it is in
// force on all nodes.
func publishRoute(ctx context.Context, running *mesh.Mesh, target *mesh.Node) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := running.AwaitComplete(ctx); err != nil {
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

// callPath is one of the paths by which calls reach the backend.
type callPath struct {
	name      string
	entries   *load.Entries
	transport *http.Transport
	options   Options
	total     *load.Record
}

func newCallPath(name, entry string, options Options) *callPath {
	return &callPath{name: name, entries: load.NewEntries(entry), transport: load.NewTransport(), options: options, total: load.NewRecord()}
}

// measureTurn measures one turn. The first turn is a warm-up and is not counted.
func (p *callPath) measureTurn(ctx context.Context, turn int) error {
	record, err := load.Run(ctx, load.Options{
		Rate: p.options.Rate, Duration: p.options.Turn, Entries: p.entries, Transport: p.transport,
		Plan: func(number uint64) load.Call {
			return load.Call{
				ID: fmt.Sprintf("%s-%d-%d", p.name, turn, number), Method: http.MethodPost, Host: hostName, Path: path,
				BodyBytes: bodyBytes, Work: p.options.Work, Timeout: callTimeout,
			}
		},
	})
	if err != nil {
		return err
	}
	if turn > 0 {
		p.total.Merge(record)
	}
	if p.options.Progress != nil {
		p.options.Progress(p.name, record.Summary())
	}
	return ctx.Err()
}
