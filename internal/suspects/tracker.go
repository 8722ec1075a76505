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
	records     *CrashRecords
}

// NewTracker returns an empty Tracker that sends its changes nowhere.
func NewTracker() *Tracker {
	return &Tracker{publish: func([]Crash) {}, now: clock.Now, records: NewCrashRecords()}
}

// PublishWith sets the function that sends records that change on this node to other nodes. It
// must be called before the Tracker is used.
func (t *Tracker) PublishWith(publish func([]Crash)) { t.publish = publish }

// IsEmpty reports whether no request is suspected or quarantined.
func (t *Tracker) IsEmpty() bool { return !t.hasSuspects.Load() }

// Assess returns the assessment of requests with the given fingerprint.
func (t *Tracker) Assess(fingerprint Fingerprint) Assessment {
	if t.IsEmpty() {
		return Assessment{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.records.Assess(fingerprint, t.now())
}

// Crashed records the crash of an instance with the requests that were running there, and
// sends the record to other nodes.
func (t *Tracker) Crashed(instance string, running []InProgress) {
	t.mutex.Lock()
	now := t.now()
	crash := Crash{ID: CrashID(rand.Uint64()), Instance: instance, At: now}
	probed := t.onlyProbe(running, now)
	for _, each := range running {
		if len(crash.Requests) < MaxRequests && crash.find(each.Fingerprint) == nil {
			crash.Requests = append(crash.Requests, Request{Fingerprint: each.Fingerprint, Probed: probed != nil && *probed == each.Fingerprint})
		}
	}
	changed := t.records.Merge([]Crash{crash}, now)
	t.hasSuspects.Store(!t.records.IsEmpty())
	t.mutex.Unlock()
	t.publish(changed)
}

// onlyProbe returns the fingerprint that was being probed, or nil if there was none or another
// suspected request ran at the same time. The caller must hold mutex.
func (t *Tracker) onlyProbe(running []InProgress, now time.Time) *Fingerprint {
	var probed *Fingerprint
	for i := range running {
		each := &running[i]
		switch {
		case probed != nil && *probed == each.Fingerprint:
		case each.Probe && probed == nil:
			probed = &each.Fingerprint
		case each.Probe, t.records.Assess(each.Fingerprint, now).Standing != Clear:
			return nil
		}
	}
	return probed
}

// Clear clears the fingerprint of a request that an instance answered.
func (t *Tracker) Clear(fingerprint Fingerprint) {
	if t.IsEmpty() {
		return
	}
	t.mutex.Lock()
	changed := t.records.Clear(fingerprint)
	t.hasSuspects.Store(!t.records.IsEmpty())
	t.mutex.Unlock()
	if len(changed) > 0 {
		t.publish(changed)
	}
}

// MergeRemote merges records received from other nodes.
func (t *Tracker) MergeRemote(crashes []Crash) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.records.Merge(crashes, t.now())
	t.hasSuspects.Store(!t.records.IsEmpty())
}

// Crashes returns the number of crash records that this node holds.
func (t *Tracker) Crashes() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records.crashes)
}

// Assessed is a fingerprint with its assessment.
type Assessed struct {
	Fingerprint Fingerprint
	Assessment
}

// Assessed returns all fingerprints that are not clear, sorted.
func (t *Tracker) Assessed() []Assessed {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.records.assessed(t.now())
}

// Count returns how many fingerprints have the given status.
func (t *Tracker) Count(standing Standing) (count int) {
	for _, each := range t.Assessed() {
		if each.Standing == standing {
			count++
		}
	}
	return count
}
