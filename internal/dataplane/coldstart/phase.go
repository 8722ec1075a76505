// Package coldstart tracks how long an instance is cold after its start. A cold instance that is
// overloaded crashes, restarts and is cold again.
package coldstart

import (
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Phase tracks until when an instance is cold, based on its entry in the configuration. An
// entry states the remaining time. It counts from when the entry was first seen, which is
// slightly after it was written and therefore errs on the safe side.
type Phase struct {
	process         snapshot.InstanceID
	listedRemaining time.Duration
	until           time.Time
}

// Follow applies the current entry of an instance. A different Life is a new process at the
// same address, which is cold again even if its entry equals that of the former one.
func (p *Phase) Follow(instance snapshot.Instance, now time.Time) {
	remaining := time.Duration(instance.WarmUpMillis) * time.Millisecond
	if process := instance.ID(); process != p.process || remaining != p.listedRemaining {
		p.process, p.listedRemaining, p.until = process, remaining, endOf(remaining, now)
	}
}

// Until returns the time until which the instance is cold.
func (p *Phase) Until() time.Time { return p.until }

// Report applies the remaining cold time as reported by the instance's node.
func (p *Phase) Report(remaining time.Duration, now time.Time) { p.until = endOf(remaining, now) }

// endOf returns the end of a phase, which is the zero time for a warm instance. It must not
// be now, as callers read the clock before they wait for the mutex: a later call can pass an
// earlier time, at which the instance would still count as cold.
func endOf(remaining time.Duration, now time.Time) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
}

// AssumeCold treats the instance as cold for the given duration, whatever its entry says. The
// next change of the entry takes precedence again.
func (p *Phase) AssumeCold(duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(p.until) {
		p.until = until
	}
}
