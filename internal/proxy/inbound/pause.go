package inbound

import (
	"sync"
	"time"
)

const (
	// tickInterval is how often a running process records a tick.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two ticks that counts as a pause.
	pauseThreshold = 250 * time.Millisecond
	// postPauseWindow is how long after a pause a request that is read may have
	// arrived during the pause and waited in the kernel's buffer.
	postPauseWindow = 200 * time.Millisecond
)

// pauseDetector bounds when a request arrived. A request carries the time that it had
// left when it was sent. If it waited in the kernel's buffer while this process was
// stopped, that time must not be counted from when it was read. The zero value detects
// nothing until start is called. It has no clock: now is passed in.
//
// An absolute deadline in the request would need synchronized clocks, which are not
// guaranteed, and the kernel reports no arrival times of bytes in a stream. So a
// request that is read during or shortly after a pause counts as arrived when the
// pause began. This may refuse a request that arrived later, which is safe, as it did
// not run and can be sent to another instance. Requests that are read later than
// postPauseWindow after a pause are detected by senderGone: their sender has closed
// the connection at the deadline.
type pauseDetector struct {
	mu         sync.Mutex
	lastTick   time.Time // zero: not started
	pauseStart time.Time // of the last pause
	pauseEnd   time.Time
	pauses     int
	longest    time.Duration
}

func (d *pauseDetector) start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTick = now
}

func (d *pauseDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTick = time.Time{}
}

// tick records that the process runs and returns the length of the pause that ended
// now, or 0.
func (d *pauseDetector) tick(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recordTick(now)
}

func (d *pauseDetector) recordTick(now time.Time) time.Duration {
	gap := now.Sub(d.lastTick)
	if d.lastTick.IsZero() || gap < 0 {
		return 0
	}
	before := d.lastTick
	d.lastTick = now
	if gap < pauseThreshold {
		return 0
	}
	d.pauseStart, d.pauseEnd = before, now
	d.pauses++
	d.longest = max(d.longest, gap)
	return gap
}

// arrival returns the earliest time at which a request that is read now may have
// arrived.
func (d *pauseDetector) arrival(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordTick(now)
	if d.pauses > 0 && now.Sub(d.pauseEnd) < postPauseWindow {
		return d.pauseStart
	}
	return now
}

// count returns the number of pauses so far.
func (d *pauseDetector) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses
}
