package cli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/winchhead/winchhead/internal/dataplane/losses"
	"github.com/winchhead/winchhead/internal/lossreport"
)

const lossesHelp = `Adds up, from the logs of all nodes, which requests did not end in time: for each second and route how they ended, why, where their time went and which instances it concerned. Reads logs in JSON from the files named, or from standard input. Exit codes: 0 the logs were read, 1 they tell of no losses, 2 wrong usage.`

type lossesCommand struct {
	environment
	outputFlags
	Worst     int    `long:"worst" value-name:"N" description:"only the N seconds that lost most; 0: all" default:"0"`
	Route     string `long:"route" value-name:"NAME" description:"only this route"`
	Arguments struct {
		Logs []string `positional-arg-name:"LOGS" description:"log files; none: standard input"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints the losses.
func (c *lossesCommand) Execute([]string) error {
	logs, closeLogs, err := openLogs(c.Arguments.Logs)
	if err != nil {
		return &exitError{code: ExitUsage, message: err.Error()}
	}
	defer closeLogs()
	report, err := lossreport.Read(logs)
	if err != nil {
		return err
	}
	if c.Route != "" {
		report.Rows = slices.DeleteFunc(report.Rows, func(row lossreport.Row) bool { return row.Route != c.Route })
	}
	if c.Worst > 0 {
		report.Rows = report.Worst(c.Worst)
	}
	if err := c.print(c.stdout, report, func(out io.Writer) { writeLosses(out, report) }); err != nil {
		return err
	}
	if len(report.Rows) == 0 {
		return &exitError{code: ExitRefused, message: "the logs contain no losses: pass the logs of the nodes at which the requests started, in JSON"}
	}
	return nil
}

func writeLosses(out io.Writer, report *lossreport.Report) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := []string{"second", "route", "service"}
	for _, ending := range losses.Endings() {
		header = append(header, string(ending))
	}
	header = append(header, "waiting_ms", "instance_ms", "between_ms", "again_ms", "priorities", "reasons", "instances")
	_, _ = fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range report.Rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s", row.Second, row.Route, row.Service)
		for _, ending := range losses.Endings() {
			_, _ = fmt.Fprintf(table, "\t%d", row.Endings[ending])
		}
		lost := int64(max(row.Lost(), 1))
		_, _ = fmt.Fprintf(table, "\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", row.WaitingMillis/lost, row.InstanceMillis/lost,
			row.BetweenNodesMillis/lost, row.EarlierSendsMillis/lost, topCounts(row.Priorities), topCounts(row.Reasons), topCounts(row.Instances))
	}
	_ = table.Flush()
	if len(report.Rows) > 0 {
		_, _ = fmt.Fprintln(out, "times are means of the requests that did not end in time")
	}
	if report.Omitted > 0 {
		_, _ = fmt.Fprintf(out, "%d lines of routes with fewer losses were left out by the nodes\n", report.Omitted)
	}
}

// maxShownCounts limits the names in one cell.
const maxShownCounts = 4

// topCounts formats the names with the highest counts, highest first.
func topCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	shown := make([]string, 0, maxShownCounts)
	for _, name := range names[:min(len(names), maxShownCounts)] {
		shown = append(shown, fmt.Sprintf("%s:%d", name, counts[name]))
	}
	return strings.Join(shown, " ")
}
