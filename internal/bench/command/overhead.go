package command

import (
	"fmt"
	"time"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/overhead"
)

const overheadHelp = "Measures the latency that the two proxy hops add to a call: the same calls go to a back end directly and " +
	"through an edge, in alternating turns of one run."

// overheadCommand measures the latency that the two proxy hops add.
type overheadCommand struct {
	environment
	exampleFlags
	binaryFlags
	Deployment string        `long:"deployment" default:"montevideo" description:"example to run"`
	Rate       float64       `long:"rate" default:"2000" description:"calls per second"`
	Turn       time.Duration `long:"turn" default:"3s" description:"time of one turn of one way"`
	Turns      int           `long:"turns" default:"5" description:"turns of each way, after one to warm up"`
	Work       time.Duration `long:"work" default:"1ms" description:"time that the back end works on a call"`
	JSON       bool          `long:"json" description:"print the report as JSON"`
}

// Execute runs the measurement.
func (c *overheadCommand) Execute([]string) error {
	plan, err := c.load(c.Deployment)
	if err != nil {
		return err
	}
	binary, remove, err := c.binary(c.environment)
	if err != nil {
		return err
	}
	defer remove()
	report, err := overhead.Run(c.ctx, overhead.Options{
		Deployment: plan, Binary: binary, Rate: c.Rate, Turn: c.Turn, Turns: c.Turns, Work: c.Work,
		Progress: func(path string, summary load.Summary) {
			c.progress(fmt.Sprintf("%-8s p50 %.3f ms, p99 %.3f ms, %d answered", path, summary.LatencyMS.P50, summary.LatencyMS.P99, summary.Answered))
		},
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, report)
	}
	table := newTable(c.stdout, "WAY", "ANSWERED", "OTHER", "P50 MS", "P90 MS", "P99 MS", "MAX MS")
	for _, row := range []struct {
		path  string
		calls load.Summary
	}{{"direct", report.Direct}, {"two hops", report.Hops}} {
		table.row(row.path, row.calls.Answered, row.calls.Sent-row.calls.Answered,
			milliseconds(row.calls.LatencyMS.P50), milliseconds(row.calls.LatencyMS.P90),
			milliseconds(row.calls.LatencyMS.P99), milliseconds(row.calls.LatencyMS.Max))
	}
	table.row("added", "", "", milliseconds(report.Added.P50), milliseconds(report.Added.P90), milliseconds(report.Added.P99), milliseconds(report.Added.Max))
	table.flush()
	return nil
}

func milliseconds(value float64) string { return fmt.Sprintf("%.3f", value) }
