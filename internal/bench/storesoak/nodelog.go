package storesoak

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/convergence"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Messages of package distribution about which nodes read the store.
const (
	messageStartsReading = "reads the source"
	messageStopsReading  = "leaves the source to others"
)

// relevantParts are substrings of the log lines that show how a node handled a change.
var relevantParts = []string{
	convergence.MessageInForce, convergence.MessageStarted, "the source", "slept", "closed the link", "refused",
	"is stale", "awaited", "no longer has the history", "is dropped", "stopping", "last good one", "read from the store", "read of the store", "store answers again",
}

// logLine is one log line of a node with the fields that all lines share.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Version string    `json:"version"`
	raw     string
}

// revision returns the revision in the version field; zero if there is none.
func (l logLine) revision() snapshot.Revision {
	number, _, _ := strings.Cut(l.Version, "/")
	revision, err := snapshot.ParseRevision(number)
	if err != nil {
		return 0 // the line has no version
	}
	return revision
}

// nodeLogs keeps the nodes' log lines about the configuration. It is safe for concurrent use.
type nodeLogs struct {
	mutex sync.Mutex
	lines map[int][]logLine
	last  map[int]string // last line of each machine, relevant or not
	all   io.Writer
}

func newNodeLogs(all io.Writer) *nodeLogs {
	return &nodeLogs{lines: make(map[int][]logLine), last: make(map[int]string), all: all}
}

// of returns the writer for the output of a machine's node.
func (l *nodeLogs) of(machine int) io.Writer { return &nodeLog{logs: l, machine: machine} }

// nodeLog splits the output of one node into lines.
type nodeLog struct {
	logs    *nodeLogs
	machine int
	partial []byte
}

// Write implements io.Writer; it never fails.
func (n *nodeLog) Write(output []byte) (int, error) {
	n.partial = append(n.partial, output...)
	for {
		end := bytes.IndexByte(n.partial, '\n')
		if end < 0 {
			return len(output), nil
		}
		n.logs.addLine(n.machine, string(n.partial[:end]))
		n.partial = n.partial[end+1:]
	}
}

func (l *nodeLogs) addLine(machine int, text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.all != nil {
		_, _ = io.WriteString(l.all, strconv.Itoa(machine)+" "+text+"\n")
	}
	l.last[machine] = text
	if !slices.ContainsFunc(relevantParts, func(part string) bool { return strings.Contains(text, part) }) {
		return
	}
	read := logLine{raw: text}
	if json.Unmarshal([]byte(text), &read) != nil {
		return // not a log line but, for example, the output of a panic; it was written to all
	}
	l.lines[machine] = append(l.lines[machine], read)
}

// lastOf returns the last line that a machine's node wrote.
func (l *nodeLogs) lastOf(machine int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.last[machine]
}

// readers returns the machines whose nodes currently read the store, in ascending order.
func (l *nodeLogs) readers() (found []int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for machine, lines := range l.lines {
		reads := false
		for _, each := range lines {
			switch {
			case strings.HasSuffix(each.Message, messageStartsReading):
				reads = true
			case strings.HasSuffix(each.Message, messageStopsReading), strings.HasSuffix(each.Message, convergence.MessageStarted):
				reads = false
			}
		}
		if reads {
			found = append(found, machine)
		}
	}
	slices.Sort(found)
	return found
}

// inForce returns when a revision, or a later one, first came into force at a machine, at or
// after the given time.
func (l *nodeLogs) inForce(machine int, revision snapshot.Revision, after time.Time) (time.Time, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.lines[machine] {
		if each.Message == convergence.MessageInForce && each.revision() >= revision && !each.Time.Before(after) {
			return each.Time, true
		}
	}
	return time.Time{}, false
}

// between returns the kept lines of a machine with times between from and to.
func (l *nodeLogs) between(machine int, from, to time.Time) (found []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, each := range l.lines[machine] {
		if !each.Time.Before(from) && !each.Time.After(to) {
			found = append(found, each.raw)
		}
	}
	return found
}
