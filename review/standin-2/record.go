package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and writes it to record.txt.
type record struct {
	began time.Time

	mutex sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{began: time.Now()} }

// note adds a line for something that happened at a time.
func (r *record) note(at time.Time, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf(format, arguments...)})
}

// write writes the lines in the order of their times, after a summary.
func (r *record) write(path string, summary []string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slices.SortStableFunc(r.lines, func(a, b recordLine) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, line := range summary {
		text.WriteString(line + "\n")
	}
	text.WriteString("\n")
	for _, line := range r.lines {
		fmt.Fprintf(&text, "%9.3f s  %s\n", line.at.Sub(r.began).Seconds(), line.text)
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}
