package cli

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/winchhead/winchhead/internal/requesttrace"
)

const traceHelp = `Puts the log lines of one request, written by any number of nodes, in order and marks the one that decided how it ended. Reads logs in JSON from the files named, or from standard input; text before the JSON of a line is shown as its node. Exit codes: 0 lines were found, 1 the logs hold none of the request, 2 wrong usage.`

type traceCommand struct {
	environment
	outputFlags
	Arguments struct {
		Request string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Logs    []string `positional-arg-name:"LOGS" description:"log files; none: standard input"`
	} `positional-args:"yes"`
}

// Execute prints the lines of the request.
func (c *traceCommand) Execute([]string) error {
	logs, closeLogs, err := openLogs(c.Arguments.Logs)
	if err != nil {
		return &exitError{code: ExitUsage, message: err.Error()}
	}
	defer closeLogs()
	trace, err := requesttrace.Read(logs, c.Arguments.Request)
	if err != nil {
		return err
	}
	if err := c.print(c.stdout, trace, func(out io.Writer) { writeTrace(out, trace) }); err != nil {
		return err
	}
	if len(trace.Lines) == 0 {
		return &exitError{code: ExitRefused, message: "the logs contain no line of request " + c.Arguments.Request +
			": nodes limit the log lines about requests (see the field omitted), so look in the log of the caller's sidecar around the time of the request"}
	}
	return nil
}

// openLogs opens the files as one stream, or standard input if there are none.
func openLogs(names []string) (logs io.Reader, closeAll func(), err error) {
	if len(names) == 0 {
		return os.Stdin, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			_ = file.Close() // the file was only read
		}
	}
	var readers []io.Reader
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		files = append(files, file)
		readers = append(readers, file, strings.NewReader("\n"))
	}
	return io.MultiReader(readers...), closeAll, nil
}

func writeTrace(out io.Writer, trace *requesttrace.Trace) {
	for _, line := range trace.Lines {
		mark := " "
		if line.Deciding {
			mark = ">"
		}
		_, _ = fmt.Fprintf(out, "%s %s %s: %s", mark, line.Node, line.Part, line.Message)
		for _, name := range sortedNames(line.Fields) {
			_, _ = fmt.Fprintf(out, " %s=%v", name, line.Fields[name])
		}
		_, _ = fmt.Fprintln(out)
	}
	if len(trace.Calls) > 0 {
		_, _ = fmt.Fprintf(out, "calls made for it: %s\n", strings.Join(trace.Calls, ", "))
	}
}

func sortedNames(fields map[string]any) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
