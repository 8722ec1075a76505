// Package goodput measures how many calls a deployment answers in time while the
// offered load rises beyond its capacity. It compares the nodes with baselines that
// replace their retry budget, load balancing or load shedding by a simple variant.
package goodput

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Variant is one configuration of the nodes.
type Variant struct {
	Name      string
	Overrides settings.Overrides
}

// noQueueLimit is a queue limit that is never reached.
const noQueueLimit = "1000000"

// Variants are the nodes without changes, one baseline for each mechanism and one for
// all three together.
var Variants = []Variant{
	{"winchhead", nil},
	{"retries without budget", settings.Overrides{"outbound.retry_ratio": "1"}},
	{"random balance", settings.Overrides{"outbound.balance": "random"}},
	{"queue without limit", settings.Overrides{"inbound.max_queued": noQueueLimit}},
	{"all three plain", settings.Overrides{
		"outbound.retry_ratio": "1", "outbound.balance": "random", "inbound.max_queued": noQueueLimit,
	}},
}

// Options configures a measurement.
type Options struct {
	Deployment *deployment.Deployment
	// Binary is the path of the winchhead binary.
	Binary string
	// Variants are the variants to measure; nil means all of Variants.
	Variants []Variant
	// Factors are the offered loads as multiples of the capacity.
	Factors []float64
	// Duration is the time for which each load is offered.
	Duration time.Duration
	// Depth is the number of backends that one call passes, at least 1.
	Depth int
	// Work is how long each backend works on a call before its onward call.
	Work time.Duration
	// Timeout is the timeout of the callers.
	Timeout time.Duration
	// Progress, if set, is called with each point.
	Progress func(variant string, point Point)
}

// Point is the result of one offered load.
type Point struct {
	Factor float64 `json:"times_capacity"`
	// Offered is the arrival rate in calls per second.
	Offered float64      `json:"offered_per_second"`
	Calls   load.Summary `json:"calls"`
}

// Curve is the result of one variant.
type Curve struct {
	Variant string  `json:"variant"`
	Points  []Point `json:"points"`
	// PeakGoodput is the highest goodput of all points. LastShare is the goodput of
	// the last point divided by PeakGoodput.
	PeakGoodput float64 `json:"peak_goodput_per_second"`
	LastShare   float64 `json:"last_share_of_peak"`
}

// Report is the result of a measurement.
type Report struct {
	Deployment string  `json:"deployment"`
	Depth      int     `json:"depth"`
	WorkMS     float64 `json:"work_ms"`
	TimeoutMS  float64 `json:"timeout_ms"`
	// Capacity is the rate that the slots allow, in calls per second.
	Capacity float64 `json:"capacity_per_second"`
	Curves   []Curve `json:"curves"`
}

const (
	startTimeout = 60 * time.Second
	policyName   = "goodput.star"
	bodyBytes    = 300
)

// Run measures each variant on a separate mesh.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Variants == nil {
		options.Variants = Variants
	}
	chain := newChain(options.Deployment, options.Depth, options.Work)
	report := Report{
		Deployment: options.Deployment.Name, Depth: options.Depth, Capacity: chain.capacity,
		WorkMS: options.Work.Seconds() * 1000, TimeoutMS: options.Timeout.Seconds() * 1000,
	}
	for _, variant := range options.Variants {
		curve, err := measure(ctx, options, variant, chain)
		if err != nil {
			return report, err
		}
		report.Curves = append(report.Curves, curve)
	}
	return report, nil
}

func measure(ctx context.Context, options Options, variant Variant, chain chain) (Curve, error) {
	plan := *options.Deployment
	plan.Content.Policies = append([]snapshot.Policy{{Name: policyName, Program: chain.program(options.Timeout)}}, plan.Content.Policies...)
	running, err := mesh.Start(ctx, mesh.Options{Deployment: &plan, Binary: options.Binary, Overrides: variant.Overrides})
	if err != nil {
		return Curve{}, err
	}
	curve, err := offerLoads(ctx, running, options, variant, chain)
	if closeErr := running.Close(); err == nil {
		err = closeErr
	}
	return curve, err
}

// offerLoads offers each load in turn and returns the points.
func offerLoads(ctx context.Context, running *mesh.Mesh, options Options, variant Variant, chain chain) (Curve, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := running.AwaitComplete(startCtx); err != nil {
		return Curve{}, err
	}
	curve := Curve{Variant: variant.Name}
	for _, factor := range options.Factors {
		point := Point{Factor: factor, Offered: factor * chain.capacity}
		transport := load.NewTransport()
		record, err := load.Run(ctx, load.Options{
			Rate: point.Offered, Duration: options.Duration, Entries: running.Entries, Transport: transport,
			Plan: chain.planner(fmt.Sprintf("x%g", factor), options),
		})
		if err != nil {
			return curve, err
		}
		transport.CloseIdleConnections()
		point.Calls = record.Summary()
		curve.add(point)
		if options.Progress != nil {
			options.Progress(variant.Name, point)
		}
		if ctx.Err() != nil {
			return curve, ctx.Err()
		}
	}
	return curve, nil
}

func (c *Curve) add(point Point) {
	c.Points = append(c.Points, point)
	c.PeakGoodput = max(c.PeakGoodput, point.Calls.Goodput)
	if c.PeakGoodput > 0 {
		c.LastShare = point.Calls.Goodput / c.PeakGoodput
	}
}

// planner plans calls that may be repeated, so that the nodes retry them.
func (c chain) planner(run string, options Options) load.Planner {
	return func(number uint64) load.Call {
		return load.Call{
			ID: fmt.Sprintf("%s-%d", run, number), Method: http.MethodGet, MayRepeat: true,
			Host: c.hosts[0], Path: callPath, Chain: c.onward(), AnswerBytes: bodyBytes,
			Work: options.Work, Timeout: options.Timeout,
		}
	}
}
