// Package goodput measures how many calls a deployment answers in time as the
// offered load passes its capacity, and compares the nodes as they are with the
// same nodes whose retries, balance or shedding is a plain baseline.
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

// Variant is one way to set the nodes.
type Variant struct {
	Name      string
	Overrides settings.Overrides
}

// noQueueLimit stands for a queue without bound.
const noQueueLimit = "1000000"

// Variants are the nodes as they are, and one baseline for each mechanism.
var Variants = []Variant{
	{"winchhead", nil},
	{"retries without budget", settings.Overrides{"outbound.retry_ratio": "1"}},
	{"random balance", settings.Overrides{"outbound.balance": "random"}},
	{"queue without limit", settings.Overrides{"inbound.max_queued": noQueueLimit}},
	{"all three plain", settings.Overrides{
		"outbound.retry_ratio": "1", "outbound.balance": "random", "inbound.max_queued": noQueueLimit,
	}},
}

// Options sets up a measurement.
type Options struct {
	Deployment *deployment.Deployment
	// Binary is the winchhead binary.
	Binary string
	// Variants to measure; nil takes Variants.
	Variants []Variant
	// Factors are the offered loads as shares of the capacity.
	Factors []float64
	// Duration is how long each load is offered.
	Duration time.Duration
	// Depth is how many back ends one call passes, at least 1.
	Depth int
	// Work is how long each back end works on a call before it calls onward.
	Work time.Duration
	// Timeout is what callers give.
	Timeout time.Duration
	// Progress is told of each point; nil drops it.
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
	// PeakGoodput is the best of the points; LastShare is the goodput of the last
	// point as a share of it.
	PeakGoodput float64 `json:"peak_goodput_per_second"`
	LastShare   float64 `json:"last_share_of_peak"`
}

// Report is the result of a measurement.
type Report struct {
	Deployment string  `json:"deployment"`
	Depth      int     `json:"depth"`
	WorkMS     float64 `json:"work_ms"`
	TimeoutMS  float64 `json:"timeout_ms"`
	// Capacity is what the slots allow in calls per second.
	Capacity float64 `json:"capacity_per_second"`
	Curves   []Curve `json:"curves"`
}

const (
	startTimeout = 60 * time.Second
	policyName   = "goodput.star"
	bodyBytes    = 300
)

// Run measures each variant on a mesh of its own.
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
	curve, err := offer(ctx, running, options, variant, chain)
	if closeError := running.Close(); err == nil {
		err = closeError
	}
	return curve, err
}

// offer offers each load in turn.
func offer(ctx context.Context, running *mesh.Mesh, options Options, variant Variant, chain chain) (Curve, error) {
	whole, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := running.AwaitWhole(whole); err != nil {
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

// planner makes calls that may be repeated, so that retries matter.
func (c chain) planner(run string, options Options) load.Planner {
	return func(number uint64) load.Call {
		return load.Call{
			ID: fmt.Sprintf("%s-%d", run, number), Method: http.MethodGet, MayRepeat: true,
			Host: c.hosts[0], Path: callPath, Chain: c.onward(), AnswerBytes: bodyBytes,
			Work: options.Work, Timeout: options.Timeout,
		}
	}
}
