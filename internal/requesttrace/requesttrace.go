// Package requesttrace collects the log lines that several nodes wrote about one
// request, sorts them by time and marks the line that tells why the request ended
// as it did.
package requesttrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Line is one log line about the request.
type Line struct {
	Time time.Time `json:"time"`
	// Node is the text before the JSON of the line, such as the name of a machine.
	Node    string         `json:"node,omitempty"`
	Level   string         `json:"level"`
	Part    string         `json:"part"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields,omitempty"`
	// Deciding marks the line that tells why the request ended as it did.
	Deciding bool `json:"deciding,omitempty"`

	position int
}

// Trace holds the log lines of a request.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Calls are the ids of requests made for this one: ids that begin with its id and a dot.
	Calls []string `json:"calls,omitempty"`
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// partOutbound is the part of a node that logs the final answer of a request.
const partOutbound = "outbound"

// Read collects the lines of a request from JSON logs. Text before the JSON of a
// line names its node. Lines of other requests and lines without JSON are skipped.
func Read(logs io.Reader, request string) (*Trace, error) {
	trace := &Trace{Request: request}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, request) {
			continue
		}
		line, id, ok := parse(text)
		switch {
		case !ok:
		case id == request:
			line.position = len(trace.Lines)
			trace.Lines = append(trace.Lines, line)
		case strings.HasPrefix(id, request+".") && !slices.Contains(trace.Calls, id):
			trace.Calls = append(trace.Calls, id)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read the logs")
	}
	trace.sort()
	trace.markDeciding()
	return trace, nil
}

// parse parses a line and returns it with the id of its request.
func parse(text string) (line Line, id string, ok bool) {
	prefix, body, found := strings.Cut(text, "{")
	if !found {
		return Line{}, "", false
	}
	fields := map[string]any{}
	if json.Unmarshal([]byte("{"+body), &fields) != nil {
		return Line{}, "", false
	}
	id, _ = fields["request"].(string)
	line = Line{Node: strings.Join(strings.Fields(prefix), " ")}
	line.Level, _ = fields["level"].(string)
	line.Part, _ = fields["part"].(string)
	line.Message, _ = fields["msg"].(string)
	if at, isText := fields["time"].(string); isText {
		line.Time, _ = time.Parse(time.RFC3339Nano, at)
	}
	for _, name := range []string{"request", "level", "part", "msg", "time"} {
		delete(fields, name)
	}
	line.Fields = fields
	return line, id, id != ""
}

// sort sorts the lines by time. Lines with the same time keep the order in which
// they were read, except that the final answer comes after the others.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(sortRank(a), sortRank(b)), cmp.Compare(a.position, b.position))
	})
}

func sortRank(line Line) int {
	if isFinalAnswer(line) {
		return 1
	}
	return 0
}

func isFinalAnswer(line Line) bool {
	return line.Part == partOutbound && line.Fields["outcome"] != nil
}

// markDeciding marks the line that tells why the request ended as it did: the last
// line before the final answer that has the same reason, or else the final answer.
func (t *Trace) markDeciding() {
	final := slices.IndexFunc(t.Lines, isFinalAnswer)
	if final < 0 {
		return
	}
	deciding := final
	for i := range t.Lines[:final] {
		if t.Lines[i].Fields["reason"] == t.Lines[final].Fields["reason"] && t.Lines[i].Fields["reason"] != "" {
			deciding = i
		}
	}
	t.Lines[deciding].Deciding = true
}
