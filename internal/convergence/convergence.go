// Package convergence computes, from the logs of all nodes, how long a configuration
// change takes to come into force on every node, and how much traffic distribution causes.
package convergence

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Messages of the log lines that are read. Packages app and configuration write them.
const (
	MessageStarted = "started"
	MessageInForce = "configuration in force"
	MessageTraffic = "control traffic"
)

// Fields of MessageTraffic lines, in bytes since the start of the process.
const (
	FieldLinkBytes   = "link_bytes"
	FieldSourceBytes = "source_bytes"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Logs holds what the logs of all nodes report about versions and traffic.
type Logs struct {
	nodes map[string]*node
}

// node holds the events in the log of one node, sorted by time.
type node struct {
	starts      []time.Time
	activations []activation
	samples     []trafficSample
}

// activation records that a revision came into force.
type activation struct {
	at       time.Time
	revision snapshot.Revision
}

// trafficSample is the number of bytes of control traffic since the start of the process.
type trafficSample struct {
	at    time.Time
	bytes int64
}

// New returns empty Logs.
func New() *Logs { return &Logs{nodes: make(map[string]*node)} }

// line holds the fields of a log line that are read.
type line struct {
	Message     string    `json:"msg"`
	Time        time.Time `json:"time"`
	Version     string    `json:"version"`
	LinkBytes   int64     `json:"link_bytes"`
	SourceBytes int64     `json:"source_bytes"`
}

// Read adds a JSON log. Text before the JSON of a line ends with the name of its node; name
// is the node of lines without such text. Lines with other messages are skipped.
func (l *Logs) Read(name string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l.addLine(name, scanner.Text())
	}
	return eris.Wrap(scanner.Err(), "read a log")
}

func (l *Logs) addLine(name, text string) {
	before, body, found := strings.Cut(text, "{")
	if !found {
		return
	}
	var parsed line
	if json.Unmarshal([]byte("{"+body), &parsed) != nil {
		return
	}
	if words := strings.Fields(before); len(words) > 0 {
		name = words[len(words)-1]
	}
	known := l.nodes[name]
	if known == nil {
		known = &node{}
		l.nodes[name] = known
	}
	switch parsed.Message {
	case MessageStarted:
		known.starts = append(known.starts, parsed.Time)
	case MessageInForce:
		number, _, _ := strings.Cut(parsed.Version, "/")
		if revision, err := snapshot.ParseRevision(number); err == nil {
			known.activations = append(known.activations, activation{parsed.Time, revision})
		}
	case MessageTraffic:
		known.samples = append(known.samples, trafficSample{parsed.Time, parsed.LinkBytes + parsed.SourceBytes})
	}
}

// Percentiles describes the distribution of a value over nodes.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func percentilesOf(values []float64) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	slices.Sort(values)
	at := func(quantile float64) float64 { return values[int(quantile*float64(len(values)-1)+0.5)] }
	return Percentiles{P50: at(0.5), P99: at(0.99), Max: values[len(values)-1]}
}

// Report holds the results for all nodes.
type Report struct {
	Nodes   int `json:"nodes"`
	Changes int `json:"changes"`
	// Seconds is the delay from the first node that had a version in force until each of the
	// nodes that ran then had it.
	Seconds Percentiles `json:"seconds"`
	// Slowest is the revision with the longest delay.
	Slowest snapshot.Revision `json:"slowest_revision"`
	// Missing counts, over all revisions, the nodes that ran when the first node had a revision in
	// force and that never had it themselves.
	Missing int `json:"missing"`
	// Idle and Changing are bytes per second per node, in intervals in which no version came
	// into force on the node and in those in which one did.
	Idle     Percentiles `json:"idle_bytes_per_second"`
	Changing Percentiles `json:"changing_bytes_per_second"`
}

// Report computes the report.
func (l *Logs) Report() *Report {
	report := &Report{Nodes: len(l.nodes)}
	revisions := l.revisions()
	report.Changes = len(revisions)
	var delays []float64
	slowest := -1.0
	for _, revision := range revisions {
		seconds, missing := l.delays(revision)
		report.Missing += missing
		delays = append(delays, seconds...)
		if longest := slices.Max(append(seconds, 0)); longest > slowest {
			slowest, report.Slowest = longest, revision
		}
	}
	report.Seconds = percentilesOf(delays)
	report.Idle, report.Changing = l.rates()
	return report
}

// revisions returns the revisions that came into force on any node, in ascending order. It
// omits the first, whose delays would only show when each node started.
func (l *Logs) revisions() []snapshot.Revision {
	var found []snapshot.Revision
	for _, known := range l.nodes {
		for _, active := range known.activations {
			found = append(found, active.revision)
		}
	}
	slices.Sort(found)
	found = slices.Compact(found)
	return found[min(1, len(found)):]
}

// delays returns how long after the first node each node had the revision, or a later one, in
// force. It ignores nodes that started later and nodes that restart shortly afterwards.
func (l *Logs) delays(revision snapshot.Revision) (seconds []float64, missing int) {
	var first time.Time
	for _, known := range l.nodes {
		if at, found := known.firstInForce(revision, time.Time{}); found && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	for _, known := range l.nodes {
		start, running := known.runningAt(first)
		if !running {
			continue
		}
		at, found := known.firstInForce(revision, start)
		switch {
		case !found:
			missing++
		default:
			seconds = append(seconds, max(at.Sub(first).Seconds(), 0))
		}
	}
	return seconds, missing
}

// firstInForce returns when the node first had the revision, or a later one, in force at or
// after the given time.
func (n *node) firstInForce(revision snapshot.Revision, after time.Time) (time.Time, bool) {
	for _, active := range n.activations {
		if active.revision >= revision && !active.at.Before(after) {
			return active.at, true
		}
	}
	return time.Time{}, false
}

// runningAt returns the last start of the node up to the given moment, if it had a version in
// force by then and does not restart soon afterwards: a process that is about to stop may
// never receive the change, which tells nothing about distribution.
func (n *node) runningAt(moment time.Time) (start time.Time, running bool) {
	const restartWindow = 5 * time.Second // much longer than a change takes to reach a node
	for _, at := range n.starts {
		switch {
		case !at.After(moment):
			start = at
		case at.Sub(moment) < restartWindow:
			return time.Time{}, false
		}
	}
	for _, active := range n.activations {
		if !active.at.Before(start) && active.at.Before(moment) {
			return start, true
		}
	}
	return time.Time{}, false
}

// rates returns the bytes per second between successive traffic lines of a process.
func (l *Logs) rates() (idle, changing Percentiles) {
	var idleRates, changingRates []float64
	for _, known := range l.nodes {
		slices.SortFunc(known.samples, func(a, b trafficSample) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for i := 1; i < len(known.samples); i++ {
			from, to := known.samples[i-1], known.samples[i]
			if to.bytes < from.bytes || !to.at.After(from.at) {
				continue // the process was restarted
			}
			rate := float64(to.bytes-from.bytes) / to.at.Sub(from.at).Seconds()
			if known.changedBetween(from.at, to.at) {
				changingRates = append(changingRates, rate)
			} else {
				idleRates = append(idleRates, rate)
			}
		}
	}
	return percentilesOf(idleRates), percentilesOf(changingRates)
}

func (n *node) changedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(n.activations, func(active activation) bool { return active.at.After(from) && !active.at.After(to) })
}
