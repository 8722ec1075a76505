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

// Texts of the lines about who reads the store, as package distribution writes them.
const (
	messageReads  = "reads the source"
	messageLeaves = "leaves the source to others"
)

// noteworthy are parts of the lines that tell what a node did about a change.
var noteworthy = []string{
	convergence.MessageInForce, convergence.MessageStarted, "the source", "slept", "closed the link", "refused",
	"is stale", "awaited", "no longer has the history", "is dropped", "stopping", "last good one", "read from the store", "read of the store", "store answers again",
}

// logLine is one line of a node as far as it has a fixed form.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Version string    `json:"version"`
	raw     string
}

// revision is that of the version that the line names.
func (l logLine) revision() snapshot.Revision {
	number, _, _ := strings.Cut(l.Version, "/")
	revision, err := snapshot.ParseRevision(number)
	if err != nil {
		return 0 // the line names none
	}
	return revision
}

// nodeLogs keeps what the nodes log about the configuration. It is safe for concurrent use.
type nodeLogs struct {
	mutex sync.Mutex
	lines map[int][]logLine
	last  map[int]string // of each machine, whatever it is
	all   io.Writer
}

func newNodeLogs(all io.Writer) *nodeLogs {
	return &nodeLogs{lines: make(map[int][]logLine), last: make(map[int]string), all: all}
}

// of returns where the node of a machine logs to.
func (l *nodeLogs) of(machine int) io.Writer { return &nodeLog{logs: l, machine: machine} }

// nodeLog cuts the output of one node into lines.
type nodeLog struct {
	logs    *nodeLogs
	machine int
	rest    []byte
}

// Write implements io.Writer; it never fails.
func (n *nodeLog) Write(output []byte) (int, error) {
	n.rest = append(n.rest, output...)
	for {
		end := bytes.IndexByte(n.rest, '\n')
		if end < 0 {
			return len(output), nil
		}
		n.logs.take(n.machine, string(n.rest[:end]))
		n.rest = n.rest[end+1:]
	}
}

func (l *nodeLogs) take(machine int, text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.all != nil {
		_, _ = io.WriteString(l.all, strconv.Itoa(machine)+" "+text+"\n")
	}
	l.last[machine] = text
	if !slices.ContainsFunc(noteworthy, func(part string) bool { return strings.Contains(text, part) }) {
		return
	}
	read := logLine{raw: text}
	if json.Unmarshal([]byte(text), &read) != nil {
		return // not a line of the log, such as the text of a panic, which all has
	}
	l.lines[machine] = append(l.lines[machine], read)
}

// lastOf returns what the node of a machine wrote last.
func (l *nodeLogs) lastOf(machine int) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.last[machine]
}

// readers returns the machines whose nodes read the store now, in their order.
func (l *nodeLogs) readers() (found []int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for machine, lines := range l.lines {
		reads := false
		for _, each := range lines {
			switch {
			case strings.HasSuffix(each.Message, messageReads):
				reads = true
			case strings.HasSuffix(each.Message, messageLeaves), strings.HasSuffix(each.Message, convergence.MessageStarted):
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

// inForce returns when a revision, or a later one, came into force at a machine after a
// moment.
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

// between returns the lines of a machine in a time.
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
