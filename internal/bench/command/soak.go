package command

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/bench/soak"
)

const soakHelp = "Runs the example deployments, one after the other, as real node processes under load and random " +
	"faults, and exits with 1 if a guarantee to callers was violated. The same seed gives the same faults."

// workloadFile is the name of the workload file in the directory of an example
// deployment.
const workloadFile = "workload.yaml"

// binaryFlags are the flags that select the winchhead binary.
type binaryFlags struct {
	Binary string `long:"binary" value-name:"PATH" description:"the winchhead binary; built with the go command if left out"`
}

// binary returns the path of the binary, which it builds if none is given, and a
// function that removes a binary that it built.
func (f binaryFlags) binary(env environment) (path string, remove func(), err error) {
	if f.Binary != "" {
		return f.Binary, func() {}, nil
	}
	return mesh.BuildBinary(env.ctx)
}

// soakCommand runs a soak test on each of the selected examples.
type soakCommand struct {
	environment
	exampleFlags
	binaryFlags
	Minutes     float64  `long:"minutes" default:"2" description:"length of the whole soak, shared by the deployments"`
	Seed        uint64   `long:"seed" default:"1" description:"seed of faults and calls"`
	Rate        float64  `long:"rate" default:"200" description:"calls per second"`
	Deployments []string `long:"deployment" default:"montevideo" default:"kerlann" description:"example to run; may be repeated"`
	JSON        bool     `long:"json" description:"print the reports as JSON"`
	Verbose     bool     `long:"verbose" description:"print what the nodes log"`
}

// Execute runs the soak test on each deployment and prints the reports.
func (c *soakCommand) Execute([]string) error {
	binary, remove, err := c.binary(c.environment)
	if err != nil {
		return err
	}
	defer remove()
	var reports []soak.Report
	for _, name := range c.Deployments {
		report, err := c.soak(name, binary)
		if err != nil {
			return eris.Wrapf(err, "soak test of %s", name)
		}
		reports = append(reports, report)
	}
	if err := c.print(reports); err != nil {
		return err
	}
	return violationError(reports)
}

func (c *soakCommand) soak(name, binary string) (soak.Report, error) {
	plan, err := c.load(name)
	if err != nil {
		return soak.Report{}, err
	}
	workload, err := load.LoadWorkload(filepath.Join(c.Examples, name, workloadFile))
	if err != nil {
		return soak.Report{}, err
	}
	options := soak.Options{
		Deployment: plan, Workload: workload, Binary: binary, Seed: c.Seed, Rate: c.Rate,
		Duration: time.Duration(c.Minutes * float64(time.Minute) / float64(len(c.Deployments))),
		Progress: c.stderr,
	}
	if c.Verbose {
		options.Logs = c.stderr
	}
	return soak.Run(c.ctx, options)
}

func (c *soakCommand) print(reports []soak.Report) error {
	if c.JSON {
		return printJSON(c.stdout, reports)
	}
	table := newTable(c.stdout, "DEPLOYMENT", "SECONDS", "FAULTS", "CHANGES", "SENT", "ANSWERED", "NOT RUN", "UNKNOWN", "REJECTED", "DOUBLED", "LOST", "CUT", "LATE", "WRONG")
	for _, report := range reports {
		calls := report.Calls
		table.row(report.Deployment, fmt.Sprintf("%.0f", report.Seconds), report.Faults, report.Changes,
			calls.Sent, calls.Answered, calls.NotRun, calls.Unknown, calls.Rejected,
			report.Doubled, report.Lost, calls.Cut, calls.Late, report.Wrong)
	}
	table.flush()
	for _, report := range reports {
		for _, violation := range report.Broken {
			_, _ = fmt.Fprintf(c.stdout, "%s: broken: %s\n", report.Deployment, violation)
		}
	}
	return nil
}

// violationError returns an error that lists the deployments with violated
// guarantees, or nil if there are none.
func violationError(reports []soak.Report) error {
	var names []string
	for _, report := range reports {
		if len(report.Broken) > 0 {
			names = append(names, report.Deployment)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return eris.Errorf("guarantees were violated in %s", strings.Join(names, ", "))
}

func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print the report")
}
