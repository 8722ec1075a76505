package coldstart

import (
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// Phase tells until when an instance is cold, by what its list entry says. An entry
// names the time that is left; it counts from the moment at which it was first seen,
// which is a little later than it was written and so on the safe side.
type Phase struct {
	life   snapshot.Life
	listed time.Duration
	until  time.Time
}

// Follow takes over what the entry of an instance says now. Another life is another process
// at the same place, cold anew even if its entry reads like that of the former one.
func (p *Phase) Follow(instance snapshot.Instance, now time.Time) {
	remaining := time.Duration(instance.WarmUpMillis) * time.Millisecond
	if life := instance.Life(); life != p.life || remaining != p.listed {
		p.life, p.listed, p.until = life, remaining, endOf(remaining, now)
	}
}

// Until is until when the instance is cold.
func (p *Phase) Until() time.Time { return p.until }

// Report takes over what the node beside the instance says: how long it is cold yet.
func (p *Phase) Report(remaining time.Duration, now time.Time) { p.until = endOf(remaining, now) }

// endOf is when a phase ends. A warm instance is cold at no moment: callers read the clock
// before they wait for their turn, so that a later call can come with an earlier moment.
func endOf(remaining time.Duration, now time.Time) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
}

// Presume lets the instance count as cold for so long, whatever its entry says; the
// next change of the entry counts again.
func (p *Phase) Presume(duration time.Duration, now time.Time) {
	if until := now.Add(duration); until.After(p.until) {
		p.until = until
	}
}
