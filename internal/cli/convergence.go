package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/winchhead/winchhead/internal/convergence"
)

const convergenceHelp = `Reads from the logs of all nodes how long changes of the configuration took until each node had them in force, and what distribution cost: seconds from the first node to each other one that ran, and bytes a second and node. Reads logs in JSON, one file a node unless lines begin with the node's name. Exit codes: 0 the logs were read, 1 they tell of no change, 2 wrong usage.`

type convergenceCommand struct {
	environment
	outputFlags
	Arguments struct {
		Logs []string `positional-arg-name:"LOGS" required:"1" description:"log files"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints how long changes took and what they cost.
func (c *convergenceCommand) Execute([]string) error {
	logs := convergence.New()
	for _, name := range c.Arguments.Logs {
		if err := readLog(logs, name); err != nil {
			return &exitError{code: ExitUsage, message: err.Error()}
		}
	}
	report := logs.Report()
	if err := c.print(c.stdout, report, func(out io.Writer) { writeConvergence(out, report) }); err != nil {
		return err
	}
	if report.Changes == 0 {
		return &exitError{code: ExitRefused, message: "the logs contain no change of the configuration: pass the logs of all nodes, in JSON"}
	}
	return nil
}

func readLog(logs *convergence.Logs, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the file was only read
	node := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return logs.Read(node, file)
}

func writeConvergence(out io.Writer, report *convergence.Report) {
	_, _ = fmt.Fprintf(out, "%d nodes, %d changes, the slowest is revision %s; %d times a node that ran never had one\n",
		report.Nodes, report.Changes, report.Slowest, report.Missing)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\tP50\tP99\tMAX")
	_, _ = fmt.Fprintf(table, "seconds to a node\t%.3f\t%.3f\t%.3f\n", report.Seconds.P50, report.Seconds.P99, report.Seconds.Max)
	_, _ = fmt.Fprintf(table, "bytes a second, idle\t%.1f\t%.1f\t%.1f\n", report.Idle.P50, report.Idle.P99, report.Idle.Max)
	_, _ = fmt.Fprintf(table, "bytes a second, changing\t%.1f\t%.1f\t%.1f\n", report.Changing.P50, report.Changing.P99, report.Changing.Max)
	_ = table.Flush()
}
