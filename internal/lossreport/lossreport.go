// Package lossreport aggregates, from the logs of all nodes, the requests that did not end
// in time (package losses) per second and route.
package lossreport

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/losses"
)

// Row holds the totals of one route in one second on all nodes.
type Row struct {
	// Second is the time at which the second starts, in the format of the logs.
	Second  string `json:"second"`
	Route   string `json:"route"`
	Service string `json:"service"`
	// Endings counts the requests by their ending.
	Endings map[losses.Ending]int `json:"endings"`
	// Reasons and Instances count the requests that did not end in time.
	Reasons   map[string]int `json:"reasons"`
	Instances map[string]int `json:"instances"`
	// Priorities counts them by their effective priority; empty in logs of earlier builds.
	Priorities map[string]int `json:"priorities"`
	// The total time of the requests that did not end in time, by where it was spent; see
	// losses.Times.
	WaitingMillis      int64 `json:"waiting_ms"`
	InstanceMillis     int64 `json:"instance_ms"`
	BetweenNodesMillis int64 `json:"between_ms"`
	EarlierSendsMillis int64 `json:"again_ms"`
}

// Lost returns the number of requests that did not end in time.
func (r Row) Lost() int {
	total := 0
	for ending, count := range r.Endings {
		if ending != losses.InTime {
			total += count
		}
	}
	return total
}

// Report holds the totals of all routes and seconds.
type Report struct {
	Rows []Row `json:"rows"`
	// Omitted counts the routes that nodes did not log, as they limit the lines per second.
	Omitted int `json:"omitted"`
}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// line holds the fields with fixed names of a log line. The counts of endings are read
// separately.
type line struct {
	Message   string `json:"msg"`
	Second    string `json:"second"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	Reasons   string `json:"reasons"`
	Instances string `json:"instances"`
	Waiting   int64  `json:"waiting_ms"`
	Instance  int64  `json:"instance_ms"`
	Between   int64  `json:"between_ms"`
	Again     int64  `json:"again_ms"`
	Omitted   int    `json:"routes_omitted"`

	// Priorities is missing in logs of earlier builds.
	Priorities string `json:"priorities"`
}

type rowKey struct{ second, route string }

// Read aggregates JSON logs. It skips text before the JSON of a line and lines with other
// messages. Rows are sorted by time, then by descending losses.
func Read(logs io.Reader) (*Report, error) {
	report, rows := &Report{}, make(map[rowKey]*Row)
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if text := scanner.Text(); strings.Contains(text, losses.Message) {
			report.addLine(rows, text)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(err, "read the logs")
	}
	for _, row := range rows {
		report.Rows = append(report.Rows, *row)
	}
	slices.SortFunc(report.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(b.Lost(), a.Lost()), cmp.Compare(a.Route, b.Route))
	})
	return report, nil
}

func (r *Report) addLine(rows map[rowKey]*Row, text string) {
	_, body, found := strings.Cut(text, "{")
	if !found {
		return
	}
	encoded := []byte("{" + body)
	var parsed line
	if json.Unmarshal(encoded, &parsed) != nil || parsed.Message != losses.Message {
		return
	}
	r.Omitted += parsed.Omitted
	key := rowKey{parsed.Second, parsed.Route}
	row := rows[key]
	if row == nil {
		row = &Row{
			Second: parsed.Second, Route: parsed.Route, Service: parsed.Service, Endings: make(map[losses.Ending]int),
			Reasons: make(map[string]int), Instances: make(map[string]int), Priorities: make(map[string]int),
		}
		rows[key] = row
	}
	row.add(parsed, encoded)
}

func (r *Row) add(parsed line, encoded []byte) {
	counts := make(map[string]any)
	_ = json.Unmarshal(encoded, &counts) // the same JSON was decoded before
	for _, ending := range losses.Endings() {
		if count, ok := counts[string(ending)].(float64); ok {
			r.Endings[ending] += int(count)
		}
	}
	addCounts(r.Reasons, parsed.Reasons)
	addCounts(r.Instances, parsed.Instances)
	addCounts(r.Priorities, parsed.Priorities)
	r.WaitingMillis += parsed.Waiting
	r.InstanceMillis += parsed.Instance
	r.BetweenNodesMillis += parsed.Between
	r.EarlierSendsMillis += parsed.Again
}

// addCounts adds comma-separated "name:count" pairs to the counts.
func addCounts(counts map[string]int, text string) {
	for pair := range strings.SplitSeq(text, ",") {
		name, count, found := strings.Cut(pair, ":")
		number, err := strconv.Atoi(count)
		if found && err == nil {
			counts[name] += number
		}
	}
}

// Worst returns the rows of the given number of seconds with the most losses, sorted by time.
func (r *Report) Worst(seconds int) []Row {
	lost := make(map[string]int)
	for _, row := range r.Rows {
		lost[row.Second] += row.Lost()
	}
	worst := slices.SortedFunc(maps.Keys(lost), func(a, b string) int {
		return cmp.Or(cmp.Compare(lost[b], lost[a]), cmp.Compare(a, b))
	})
	worst = worst[:min(seconds, len(worst))]
	return slices.DeleteFunc(slices.Clone(r.Rows), func(row Row) bool { return !slices.Contains(worst, row.Second) })
}
