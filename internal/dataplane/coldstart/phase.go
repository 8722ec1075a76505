// Package coldstart tracks how long an instance is cold, after its start or again later, and limits the requests
// to an instance that may have turned cold without notice. A cold instance that is overloaded crashes, restarts
// and is cold again.
package coldstart

import (
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Phase tracks until when an instance is cold. Its entry in the configuration states the remaining time, which
// counts from when the entry was first seen: slightly after it was written, which errs on the safe side. Other
// news of the same process are assumptions. They count beside the entry, as an entry that is seen later may have
// been written earlier.
type Phase struct {
	process         snapshot.InstanceID
	listedRemaining time.Duration
	// listedUntil is the end by the entry, assumedUntil that by the last of the assumptions to end.
	listedUntil, assumedUntil time.Time
}

// Follow applies the current entry of an instance. A different process is cold again even if its entry equals
// that of the former one, and ends the assumptions about that.
func (p *Phase) Follow(instance snapshot.Instance, now time.Time) {
	process, remaining := instance.ID(), time.Duration(instance.WarmUpMillis)*time.Millisecond
	if process != p.process {
		*p = Phase{process: process, listedRemaining: remaining, listedUntil: endOf(remaining, now)}
	}
	if remaining != p.listedRemaining {
		p.listedRemaining, p.listedUntil = remaining, endOf(remaining, now)
	}
}

// Until returns the time until which the instance is cold.
func (p *Phase) Until() time.Time { return later(p.listedUntil, p.assumedUntil) }

// Report replaces what a sender knows by the remaining cold time that the instance's node reports, until the entry
// changes.
func (p *Phase) Report(remaining time.Duration, now time.Time) {
	p.listedUntil, p.assumedUntil = endOf(remaining, now), time.Time{}
}

// endOf returns the end of a phase, which is the zero time for a warm instance. It must not
// be now, as callers read the clock before they wait for the mutex: a later call can pass an
// earlier time, at which the instance would still count as cold.
func endOf(remaining time.Duration, now time.Time) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
}

// Stated applies the remaining cold time that the instance itself states. It is newer than all that is known so far.
func (p *Phase) Stated(remaining time.Duration, now time.Time) {
	p.listedUntil, p.assumedUntil = time.Time{}, endOf(remaining, now)
}

// AssumeCold treats the instance as cold for the given duration, whatever its entry says meanwhile.
func (p *Phase) AssumeCold(duration time.Duration, now time.Time) {
	p.assumedUntil = later(p.assumedUntil, endOf(duration, now))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
