// Package requesttrace puts the log lines of one request, written by several
// nodes, in order and names the one that decided how it ended.
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
	// Node is what stands before the JSON of the line, such as a machine's name.
	Node    string         `json:"node,omitempty"`
	Level   string         `json:"level"`
	Part    string         `json:"part"`
	Message string         `json:"msg"`
	Fields  map[string]any `json:"fields,omitempty"`
	// Deciding is set on the line that tells why the request ended as it did.
	Deciding bool `json:"deciding,omitempty"`

	order int
}

// Trace is what the logs tell of a request.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Calls are the ids of requests that were made for this one, if their ids tell.
	Calls []string `json:"calls,omitempty"`
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// partOutbound logs the final answer of a request.
const partOutbound = "outbound"

// Read collects the lines of a request from logs in JSON. Text before the JSON of a
// line names its node; other lines are passed over.
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
			line.order = len(trace.Lines)
			trace.Lines = append(trace.Lines, line)
		case strings.HasPrefix(id, request+".") && !slices.Contains(trace.Calls, id):
			trace.Calls = append(trace.Calls, id)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read the logs")
	}
	trace.sort()
	trace.decide()
	return trace, nil
}

// parse reads one line and the id of its request.
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

// sort orders the lines by time. Those of one moment stay as they were read, but
// the final answer comes after what led to it.
func (t *Trace) sort() {
	slices.SortStableFunc(t.Lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(rankOf(a), rankOf(b)), cmp.Compare(a.order, b.order))
	})
}

func rankOf(line Line) int {
	if isFinal(line) {
		return 1
	}
	return 0
}

func isFinal(line Line) bool {
	return line.Part == partOutbound && line.Fields["outcome"] != nil
}

// decide marks the line that tells why the request ended as it did: the last one
// before the final answer that has the same reason, or else the final answer.
func (t *Trace) decide() {
	final := slices.IndexFunc(t.Lines, isFinal)
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
