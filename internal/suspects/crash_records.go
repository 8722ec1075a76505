package suspects

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SuspectFor is how long a crash counts against the requests that were in progress.
	// Requests that clients retry repeatedly come back within minutes.
	SuspectFor = time.Hour
	// QuarantineFor is how long a crash during a probe counts against the probed request.
	// Nothing signals that the software of the instances has been fixed, so a request that
	// crashes them keeps crashing two instances a day.
	QuarantineFor = 24 * time.Hour
	// ProbeAgainAfter is how long a request is refused after its first probe ended in a crash.
	// The instance may have ended for another reason, so the request gets a second probe; if
	// that crashes too, it is refused for QuarantineFor. A probe takes tenths of a second, in
	// which an instance rarely ends by itself. Each further probe of a quarantined request
	// costs an instance for seconds and aborts everything in progress there.
	ProbeAgainAfter = 2 * time.Minute
	// quarantineProbes is the number of probes that crashed the instance, after which a request
	// is quarantined for QuarantineFor.
	quarantineProbes = 2
	// maxCrashes limits the number of records held: about 1 MB with MaxRequests each.
	maxCrashes = 256
)

// Standing is the status of requests with one fingerprint: how they are treated.
type Standing uint8

// The statuses.
const (
	// Clear requests are not suspected and are sent normally.
	Clear Standing = 0
	// Suspected requests may have crashed an instance. They are probed, one at a time.
	Suspected Standing = 1
	// Quarantined requests crash the instances that run them and are refused.
	Quarantined Standing = 2
)

// String returns the status in lower case, as logs show it.
func (s Standing) String() string {
	return map[Standing]string{Clear: "clear", Suspected: "suspected", Quarantined: "quarantined"}[s]
}

// Assessment is the status of one fingerprint with the evidence for it.
type Assessment struct {
	Standing Standing
	// Crashes counts the crashes that count against the fingerprint. Probes counts those
	// of them that happened during a probe.
	Crashes, Probes int
	// Until is when a quarantined request may be sent again.
	Until time.Time
}

// CrashRecords holds the crash records that a node knows. Two of them with the same records give the
// same assessments. It is not safe for concurrent use.
type CrashRecords struct {
	crashes map[CrashID]*Crash
	// suspected maps each fingerprint that is not cleared to the crashes at which it was in
	// progress.
	suspected map[Fingerprint][]*Crash
}

// NewCrashRecords returns an empty CrashRecords.
func NewCrashRecords() *CrashRecords {
	return &CrashRecords{crashes: make(map[CrashID]*Crash), suspected: make(map[Fingerprint][]*Crash)}
}

// IsEmpty reports whether no fingerprint is suspected or quarantined.
func (r *CrashRecords) IsEmpty() bool { return len(r.suspected) == 0 }

// Merge adds the given records and returns those that were new or changed a held record, in
// their merged form.
func (r *CrashRecords) Merge(crashes []Crash, now time.Time) (merged []Crash) {
	r.expire(now)
	var changed []CrashID
	for _, other := range crashes {
		if r.mergeRecord(other, now) {
			changed = append(changed, other.ID)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	r.limit()
	r.index()
	for _, id := range changed {
		if held := r.crashes[id]; held != nil { // a dropped record is not passed on, or it would circulate forever
			merged = append(merged, held.clone())
		}
	}
	return merged
}

func (r *CrashRecords) mergeRecord(other Crash, now time.Time) (changed bool) {
	if held := r.crashes[other.ID]; held != nil {
		return held.merge(other)
	}
	if len(other.Requests) == 0 || !now.Before(expiry(&other)) {
		return false
	}
	added := other.clone()
	added.Requests = added.Requests[:min(len(added.Requests), MaxRequests)]
	r.crashes[other.ID] = &added
	return true
}

// Clear clears a fingerprint after an instance answered such a request, which shows that
// the request does not crash instances. It returns the records that changed.
func (r *CrashRecords) Clear(fingerprint Fingerprint) (changed []Crash) {
	for _, crash := range r.suspected[fingerprint] {
		crash.find(fingerprint).Cleared = true
		changed = append(changed, crash.clone())
	}
	if len(changed) > 0 {
		r.index()
	}
	return changed
}

// Assess returns the assessment of a fingerprint.
func (r *CrashRecords) Assess(fingerprint Fingerprint, now time.Time) Assessment {
	var found Assessment
	var last time.Time
	for _, crash := range r.suspected[fingerprint] {
		request := crash.find(fingerprint)
		switch {
		case !now.Before(expiry(crash)):
			continue
		case request.Probed:
			found.Probes++
			last = later(last, crash.At)
		case r.isExplained(crash, fingerprint):
			continue
		}
		found.Crashes++
	}
	switch {
	case found.Crashes == 0:
		return found
	case found.Probes >= quarantineProbes:
		found.Standing, found.Until = Quarantined, last.Add(QuarantineFor)
	case found.Probes > 0 && now.Before(last.Add(ProbeAgainAfter)):
		found.Standing, found.Until = Quarantined, last.Add(ProbeAgainAfter)
	default:
		found.Standing = Suspected
	}
	return found
}

// isExplained reports whether another request that was in progress at the crash has crashed
// an instance during a probe. The crash is then no evidence against this one, so requests
// that merely ran at the same time as the cause need no probe of their own.
func (r *CrashRecords) isExplained(crash *Crash, fingerprint Fingerprint) bool {
	return slices.ContainsFunc(crash.Requests, func(other Request) bool {
		return other.Fingerprint != fingerprint && !other.Cleared && r.wasProbed(other.Fingerprint)
	})
}

// wasProbed reports whether a probe of a fingerprint that is not cleared ended in a crash.
func (r *CrashRecords) wasProbed(fingerprint Fingerprint) bool {
	return slices.ContainsFunc(r.suspected[fingerprint], func(crash *Crash) bool { return crash.find(fingerprint).Probed })
}

// assessed returns all fingerprints that are not clear, sorted.
func (r *CrashRecords) assessed(now time.Time) (found []Assessed) {
	for fingerprint := range r.suspected {
		if assessment := r.Assess(fingerprint, now); assessment.Standing != Clear {
			found = append(found, Assessed{Fingerprint: fingerprint, Assessment: assessment})
		}
	}
	slices.SortFunc(found, func(a, b Assessed) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return found
}

// All returns all records, oldest first.
func (r *CrashRecords) All(now time.Time) []Crash {
	r.expire(now)
	all := make([]Crash, 0, len(r.crashes))
	for _, crash := range r.crashes {
		all = append(all, crash.clone())
	}
	slices.SortFunc(all, compareAge)
	return all
}

// compareAge orders records by time, and those of the same time by ID.
func compareAge(a, b Crash) int {
	if order := a.At.Compare(b.At); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

// expiry returns the time at which a record stops counting.
func expiry(crash *Crash) time.Time {
	if slices.ContainsFunc(crash.Requests, func(request Request) bool { return request.Probed }) {
		return crash.At.Add(QuarantineFor)
	}
	return crash.At.Add(SuspectFor)
}

// expire drops the records that have expired.
func (r *CrashRecords) expire(now time.Time) {
	before := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ CrashID, crash *Crash) bool { return !now.Before(expiry(crash)) })
	if len(r.crashes) < before {
		r.index()
	}
}

// limit drops the least useful records: first those in which every request is cleared, then
// the oldest without a probe, then the oldest.
func (r *CrashRecords) limit() {
	if len(r.crashes) <= maxCrashes {
		return
	}
	all := slices.Collect(maps.Values(r.crashes))
	slices.SortFunc(all, func(a, b *Crash) int {
		if order := cmp.Compare(a.retentionPriority(), b.retentionPriority()); order != 0 {
			return order
		}
		return compareAge(*a, *b)
	})
	for _, crash := range all[:len(all)-maxCrashes] {
		delete(r.crashes, crash.ID)
	}
}

// retentionPriority ranks a record for limit, which drops low ranks first.
func (c *Crash) retentionPriority() int {
	priority := 0
	for _, request := range c.Requests {
		switch {
		case request.Cleared:
		case request.Probed:
			return 2
		default:
			priority = 1
		}
	}
	return priority
}

// index rebuilds suspected. This is rare: records change only a few times per crash.
func (r *CrashRecords) index() {
	clear(r.suspected)
	for _, crash := range r.crashes {
		for _, request := range crash.Requests {
			if !request.Cleared {
				r.suspected[request.Fingerprint] = append(r.suspected[request.Fingerprint], crash)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
