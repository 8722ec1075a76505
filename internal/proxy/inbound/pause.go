package inbound

import (
	"sync"
	"time"
)

const (
	// tickInterval is how often a running process marks that it runs.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the gap between two marks that counts as a pause.
	pauseThreshold = 250 * time.Millisecond
	// pauseShadow is how long after a pause a request may still be one that
	// arrived during it and waited in the kernel's buffer.
	pauseShadow = 200 * time.Millisecond
)

// pauseDetector bounds when a request arrived. A request carries the time left
// when it was sent; one that waited in the kernel's buffer while this process was
// stopped must not have its time counted from when it was read. The zero value is
// off until start. It has no clock: now is passed in.
//
// Weighed: an absolute deadline on the request needs clocks that agree, which
// nothing here promises; the system tells no arrival time of bytes in a stream. So
// a request read during or shortly after a pause counts as arrived when the pause
// began: a fresh one may be refused by that, which is safe, as it did not run and
// can go elsewhere. Requests read later than pauseShadow after a pause are caught
// by senderGone: their sender has closed the connection once their time was over.
type pauseDetector struct {
	mu      sync.Mutex
	marked  time.Time // zero: off
	began   time.Time // of the last pause
	ended   time.Time
	pauses  int
	longest time.Duration
}

func (d *pauseDetector) start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marked = now
}

func (d *pauseDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.marked = time.Time{}
}

// tick marks that the process runs and returns the length of the pause before,
// or 0.
func (d *pauseDetector) tick(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mark(now)
}

func (d *pauseDetector) mark(now time.Time) time.Duration {
	gap := now.Sub(d.marked)
	if d.marked.IsZero() || gap < 0 {
		return 0
	}
	before := d.marked
	d.marked = now
	if gap < pauseThreshold {
		return 0
	}
	d.began, d.ended = before, now
	d.pauses++
	d.longest = max(d.longest, gap)
	return gap
}

// arrival returns the earliest moment at which a request that is read now may
// have arrived.
func (d *pauseDetector) arrival(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mark(now)
	if d.pauses > 0 && now.Sub(d.ended) < pauseShadow {
		return d.began
	}
	return now
}

// count returns how many pauses there were.
func (d *pauseDetector) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pauses
}
