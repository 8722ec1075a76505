package command

import (
	"fmt"
	"time"

	"github.com/winchhead/winchhead/internal/bench/chart"
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/goodput"
)

const loadHelp = "Offers load below and above the capacity of an example and reports how many calls are answered in time, " +
	"with unchanged nodes and with a simple baseline for retries, load balancing and load shedding."

// loadCommand measures the goodput of a deployment.
type loadCommand struct {
	environment
	exampleFlags
	binaryFlags
	Deployment  string        `long:"deployment" default:"montevideo" description:"example to run, or 'chain' for a made one with as many services as a call is deep"`
	Instances   int           `long:"instances" default:"2" description:"instances of each service of the made deployment"`
	Factors     []float64     `long:"factor" default:"0.5" default:"1" default:"2" default:"4" description:"offered load as a share of the capacity; may be repeated"`
	Duration    time.Duration `long:"duration" default:"10s" description:"how long each load is offered"`
	Depth       int           `long:"depth" default:"1" description:"back ends that one call passes"`
	Work        time.Duration `long:"work" default:"100ms" description:"time that each back end works on a call"`
	Timeout     time.Duration `long:"timeout" default:"1s" description:"time that callers give"`
	NoBaselines bool          `long:"no-baselines" description:"measure the nodes as they are only"`
	JSON        bool          `long:"json" description:"print the report as JSON"`
	Plot        string        `long:"plot" value-name:"FILE" description:"draw goodput over offered load (.png, .svg, .pdf)"`
}

// Execute runs the measurement.
func (c *loadCommand) Execute([]string) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	binary, remove, err := c.binary(c.environment)
	if err != nil {
		return err
	}
	defer remove()
	variants := goodput.Variants
	if c.NoBaselines {
		variants = variants[:1]
	}
	report, err := goodput.Run(c.ctx, goodput.Options{
		Deployment: plan, Binary: binary, Variants: variants, Factors: c.Factors, Duration: c.Duration,
		Depth: c.Depth, Work: c.Work, Timeout: c.Timeout,
		Progress: func(variant string, point goodput.Point) {
			c.progress(fmt.Sprintf("%s at %g times the capacity: %.0f of %.0f calls per second answered in time", variant, point.Factor, point.Calls.Goodput, point.Offered))
		},
	})
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := goodputChart(report).Save(c.Plot); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(c.stdout, report)
	}
	c.printTable(report)
	return nil
}

// generatedDeployment is the flag value that selects a generated deployment.
const generatedDeployment = "chain"

func (c *loadCommand) plan() (*deployment.Deployment, error) {
	if c.Deployment == generatedDeployment {
		return deployment.Chain(c.Depth, c.Instances)
	}
	return c.load(c.Deployment)
}

func (c *loadCommand) printTable(report goodput.Report) {
	_, _ = fmt.Fprintf(c.stdout, "%s: capacity %.0f calls/s at depth %d, deadline %.0f ms\n", report.Deployment, report.Capacity, report.Depth, report.TimeoutMS)
	table := newTable(c.stdout, "NODES", "TIMES CAPACITY", "OFFERED/S", "GOODPUT/S", "P99 MS", "NOT RUN", "UNKNOWN", "LATE", "REJECTED", "SKIPPED")
	for _, curve := range report.Curves {
		for _, point := range curve.Points {
			calls := point.Calls
			table.row(curve.Variant, point.Factor, fmt.Sprintf("%.0f", point.Offered), fmt.Sprintf("%.0f", calls.Goodput),
				fmt.Sprintf("%.1f", calls.LatencyMS.P99), calls.NotRun, calls.Unknown, calls.Late, calls.Rejected, calls.Skipped)
		}
	}
	table.flush()
	for _, curve := range report.Curves {
		_, _ = fmt.Fprintf(c.stdout, "%s: goodput at the last load is %.0f %% of the peak\n", curve.Variant, 100*curve.LastShare)
	}
}

// goodputChart returns a chart of goodput over offered load.
func goodputChart(report goodput.Report) chart.Lines {
	lines := chart.Lines{
		Title:  fmt.Sprintf("Goodput of %s, depth %d", report.Deployment, report.Depth),
		XLabel: "offered load (times capacity)", YLabel: "answered in time (calls/s)",
	}
	for _, curve := range report.Curves {
		series := chart.Series{Name: curve.Variant}
		for _, point := range curve.Points {
			series.X = append(series.X, point.Factor)
			series.Y = append(series.Y, point.Calls.Goodput)
		}
		lines.Series = append(lines.Series, series)
	}
	return lines
}
