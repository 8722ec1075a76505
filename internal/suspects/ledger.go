package suspects

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/clock"
)

// InProgress is a request that was in progress at a crash.
type InProgress struct {
	Fingerprint Fingerprint
	// Probe is set if the request was sent as a probe.
	Probe bool
}

// Tracker holds the CrashRecords of one node and sends its changes to other nodes. It is safe for
// concurrent use. While no request is suspected, a lookup costs one atomic load.
type Tracker struct {
	// publish sends records that changed on this node to other nodes.
	publish func([]Crash)
	now     func() time.Time

	hasSuspects atomic.Bool
	mutex       sync.Mutex
	book        *CrashRecords
}

// NewTracker returns an empty Tracker that sends its changes nowhere.
func NewTracker() *Tracker {
	return &Tracker{publish: func([]Crash) {}, now: clock.Now, book: NewCrashRecords()}
}

// PublishWith sets the function that sends records that change on this node to other nodes. It
// must be called before the Tracker is used.
func (l *Tracker) PublishWith(publish func([]Crash)) { l.publish = publish }

// IsEmpty reports whether no request is suspected or quarantined.
func (l *Tracker) IsEmpty() bool { return !l.hasSuspects.Load() }

// Assess returns the standing of requests with the given fingerprint.
func (l *Tracker) Assess(fingerprint Fingerprint) Assessment {
	if l.IsEmpty() {
		return Assessment{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.Assess(fingerprint, l.now())
}

// Crashed records the crash of an instance with the requests that were running there, and
// sends the record to other nodes.
func (l *Tracker) Crashed(instance string, running []InProgress) {
	l.mutex.Lock()
	now := l.now()
	crash := Crash{ID: CrashID(rand.Uint64()), Instance: instance, At: now}
	probed := l.onlyProbe(running, now)
	for _, each := range running {
		if len(crash.Requests) < MaxRequests && crash.find(each.Fingerprint) == nil {
			crash.Requests = append(crash.Requests, Request{Fingerprint: each.Fingerprint, Probed: probed != nil && *probed == each.Fingerprint})
		}
	}
	changed := l.book.Merge([]Crash{crash}, now)
	l.hasSuspects.Store(!l.book.IsEmpty())
	l.mutex.Unlock()
	l.publish(changed)
}

// onlyProbe returns the fingerprint that was being probed, or nil if there was none or another
// suspected request ran beside it. The caller must hold mutex.
func (l *Tracker) onlyProbe(running []InProgress, now time.Time) *Fingerprint {
	var probed *Fingerprint
	for i := range running {
		each := &running[i]
		switch {
		case probed != nil && *probed == each.Fingerprint:
		case each.Probe && probed == nil:
			probed = &each.Fingerprint
		case each.Probe, l.book.Assess(each.Fingerprint, now).Standing != Clear:
			return nil
		}
	}
	return probed
}

// Clear clears the fingerprint of a request that an instance answered.
func (l *Tracker) Clear(fingerprint Fingerprint) {
	if l.IsEmpty() {
		return
	}
	l.mutex.Lock()
	changed := l.book.Clear(fingerprint)
	l.hasSuspects.Store(!l.book.IsEmpty())
	l.mutex.Unlock()
	if len(changed) > 0 {
		l.publish(changed)
	}
}

// MergeRemote merges records received from other nodes.
func (l *Tracker) MergeRemote(crashes []Crash) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.book.Merge(crashes, l.now())
	l.hasSuspects.Store(!l.book.IsEmpty())
}

// Assessed is a fingerprint with its assessment.
type Assessed struct {
	Fingerprint Fingerprint
	Assessment
}

// Assessed returns all fingerprints that are not clear, sorted.
func (l *Tracker) Assessed() []Assessed {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.book.assessed(l.now())
}

// Count returns how many fingerprints have the given standing.
func (l *Tracker) Count(standing Standing) (count int) {
	for _, each := range l.Assessed() {
		if each.Standing == standing {
			count++
		}
	}
	return count
}
