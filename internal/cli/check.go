package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/winchhead/winchhead/internal/contentfile"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const checkHelp = `Compiles the policies of a content file as a node would, without a node or a platform, and points at file, line and column of each fault. With --settings it also checks a settings file. Exit codes: 0 all is right, 1 the content would be refused, 2 wrong settings or usage.`

type checkCommand struct {
	environment
	outputFlags
	Settings  string `long:"settings" value-name:"FILE" description:"settings file to check as well"`
	Arguments struct {
		Content []string `positional-arg-name:"CONTENT" description:"content file (YAML) that lists services, policies and secrets"`
	} `positional-args:"yes"`
}

// checkReport is the result of checking one content file.
type checkReport struct {
	File       string          `json:"file"`
	Accepted   bool            `json:"accepted"`
	Faults     []*policy.Error `json:"faults,omitempty"`
	Problem    string          `json:"problem,omitempty"` // an error outside the policies
	Routes     []string        `json:"routes,omitempty"`
	Conditions []string        `json:"conditions,omitempty"`
}

// Execute checks the files and prints a report for each content file.
func (c *checkCommand) Execute([]string) error {
	if c.Settings == "" && len(c.Arguments.Content) == 0 {
		return &exitError{code: ExitUsage, message: "nothing to check: name a content file or --settings FILE"}
	}
	if c.Settings != "" {
		if _, err := settings.Load(c.Settings, nil); err != nil {
			return err
		}
	}
	reports := []checkReport{}
	accepted := true
	for _, file := range c.Arguments.Content {
		report := checkContent(file)
		reports = append(reports, report)
		accepted = accepted && report.Accepted
	}
	write := func(out io.Writer) { c.write(out, reports) }
	if err := c.print(c.stdout, reports, write); err != nil {
		return err
	}
	if !accepted {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func checkContent(file string) checkReport {
	report := checkReport{File: file}
	compiled, plan, err := compileFile(file)
	var faults *policy.Errors
	switch {
	case err == nil:
		report.Accepted = true
		for _, route := range compiled.Routes() {
			report.Routes = append(report.Routes, route.Name)
		}
		for _, condition := range plan.Conditions() {
			report.Conditions = append(report.Conditions, condition.String())
		}
	case errors.As(err, &faults):
		report.Faults = faults.Faults
	default:
		report.Problem = err.Error()
	}
	return report
}

// compileFile compiles a content file for every combination of its conditions on the
// fleet, and returns the snapshot for an empty fleet.
func compileFile(file string) (*snapshot.Snapshot, *policy.Plan, error) {
	content, err := contentfile.LoadContent(file)
	if err != nil {
		return nil, nil, err
	}
	document, err := snapshot.NewDocument(content)
	if err != nil {
		return nil, nil, err
	}
	plan, err := policy.NewPlan(document)
	if err != nil {
		return nil, nil, err
	}
	compiled, err := plan.Snapshot(policy.NewCountEvaluator(&membership.View{}))
	return compiled, plan, err
}

func (c *checkCommand) write(out io.Writer, reports []checkReport) {
	if c.Settings != "" {
		_, _ = fmt.Fprintf(out, "%s: the settings are right\n", c.Settings)
	}
	for _, report := range reports {
		report.write(out)
	}
}

func (r checkReport) write(out io.Writer) {
	switch {
	case r.Accepted:
		_, _ = fmt.Fprintf(out, "%s: accepted: %d routes, %d conditions on the fleet\n", r.File, len(r.Routes), len(r.Conditions))
	case r.Problem != "":
		_, _ = fmt.Fprintf(out, "%s\n", r.Problem)
	default:
		_, _ = fmt.Fprintf(out, "%s: would be refused as a whole:\n", r.File)
	}
	for _, fault := range r.Faults {
		_, _ = fmt.Fprintf(out, "  %v\n", fault)
	}
}
