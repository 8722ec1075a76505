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
	// Requests that come again and again do so within minutes.
	SuspectFor = time.Hour
	// QuarantineFor is the same for a crash under a probe. Nothing tells when the software of
	// the instances is repaired: a request that crashes them ends two of them a day.
	QuarantineFor = 24 * time.Hour
	// ProbeAgainAfter is how long a request is refused after its first probe ended in a crash.
	// Another cause may have ended the instance just then, so it gets one more; with the
	// second crash it is refused for QuarantineFor. A probe takes tenths of a second, in which
	// an instance rarely ends by itself, while a further probe of one that is quarantined costs an
	// instance for seconds and breaks off all that is in progress there.
	ProbeAgainAfter = 2 * time.Minute
	// finalProbes is how many probes that end in a crash leave no doubt.
	finalProbes = 2
	// maxCrashes bounds the records that are held: about 1 MB with MaxRequests each.
	maxCrashes = 256
)

// Standing tells what may be done with requests of one content.
type Standing uint8

// The standings.
const (
	// Clear: nothing stands against them.
	Clear Standing = 0
	// Suspected: they may have crashed an instance. They are probed, one at a time.
	Suspected Standing = 1
	// Quarantined: they crash the instances that run them, and are refused.
	Quarantined Standing = 2
)

// String returns the standing in lower case, as logs show it.
func (s Standing) String() string {
	return map[Standing]string{Clear: "clear", Suspected: "suspected", Quarantined: "quarantined"}[s]
}

// Assessment is the standing of one content with what it rests on.
type Assessment struct {
	Standing Standing
	// Crashes counts the crashes that stand against it, Probes those under a probe.
	Crashes, Probes int
	// Until is when a quarantined one may be sent again.
	Until time.Time
}

// Book holds the crashes that a node knows of. Books of different nodes that hold the same
// records assess alike. It is for one goroutine.
type Book struct {
	crashes map[CrashID]*Crash
	// suspected maps each content that is not cleared to the crashes it was in progress at.
	suspected map[Fingerprint][]*Crash
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{crashes: make(map[CrashID]*Crash), suspected: make(map[Fingerprint][]*Crash)}
}

// IsEmpty reports whether nothing stands against any content.
func (b *Book) IsEmpty() bool { return len(b.suspected) == 0 }

// Merge takes over records and returns those that told something new, as they are now.
func (b *Book) Merge(crashes []Crash, now time.Time) (news []Crash) {
	b.expire(now)
	var changed []CrashID
	for _, other := range crashes {
		if b.mergeOne(other, now) {
			changed = append(changed, other.ID)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	b.limit()
	b.index()
	for _, id := range changed {
		if held := b.crashes[id]; held != nil { // what there is no room for is not passed on in circles
			news = append(news, held.clone())
		}
	}
	return news
}

func (b *Book) mergeOne(other Crash, now time.Time) (news bool) {
	if held := b.crashes[other.ID]; held != nil {
		return held.merge(other)
	}
	if len(other.Requests) == 0 || !now.Before(expiry(&other)) {
		return false
	}
	added := other.clone()
	added.Requests = added.Requests[:min(len(added.Requests), MaxRequests)]
	b.crashes[other.ID] = &added
	return true
}

// Answered clears a content, as an instance has answered a request of it: it does not crash
// those that run it. It returns the records that changed.
func (b *Book) Answered(content Fingerprint) (news []Crash) {
	for _, crash := range b.suspected[content] {
		crash.find(content).Cleared = true
		news = append(news, crash.clone())
	}
	if len(news) > 0 {
		b.index()
	}
	return news
}

// Assess returns the standing of a content.
func (b *Book) Assess(content Fingerprint, now time.Time) Assessment {
	var found Assessment
	var last time.Time
	for _, crash := range b.suspected[content] {
		request := crash.find(content)
		switch {
		case !now.Before(expiry(crash)):
			continue
		case request.Probed:
			found.Probes++
			last = later(last, crash.At)
		case b.isExplained(crash, content):
			continue
		}
		found.Crashes++
	}
	switch {
	case found.Crashes == 0:
		return found
	case found.Probes >= finalProbes:
		found.Standing, found.Until = Quarantined, last.Add(QuarantineFor)
	case found.Probes > 0 && now.Before(last.Add(ProbeAgainAfter)):
		found.Standing, found.Until = Quarantined, last.Add(ProbeAgainAfter)
	default:
		found.Standing = Suspected
	}
	return found
}

// isExplained reports whether another content that was in progress at the crash has crashed
// an instance under a probe: the crash then says nothing of this one. So the victims of a
// request that crashes instances need no probe of their own.
func (b *Book) isExplained(crash *Crash, content Fingerprint) bool {
	return slices.ContainsFunc(crash.Requests, func(other Request) bool {
		return other.Fingerprint != content && !other.Cleared && b.wasProbed(other.Fingerprint)
	})
}

// wasProbed reports whether a probe of a content that is not cleared ended in a crash.
func (b *Book) wasProbed(content Fingerprint) bool {
	return slices.ContainsFunc(b.suspected[content], func(crash *Crash) bool { return crash.find(content).Probed })
}

// assessed returns all contents that something stands against, in the order of their
// fingerprints.
func (b *Book) assessed(now time.Time) (found []Assessed) {
	for content := range b.suspected {
		if assessment := b.Assess(content, now); assessment.Standing != Clear {
			found = append(found, Assessed{Fingerprint: content, Assessment: assessment})
		}
	}
	slices.SortFunc(found, func(a, b Assessed) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return found
}

// All returns all records, the oldest first.
func (b *Book) All(now time.Time) []Crash {
	b.expire(now)
	all := make([]Crash, 0, len(b.crashes))
	for _, crash := range b.crashes {
		all = append(all, crash.clone())
	}
	slices.SortFunc(all, older)
	return all
}

// older orders records by age, and those of one moment by their names.
func older(a, b Crash) int {
	if order := a.At.Compare(b.At); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}

// expiry is when a record counts no more.
func expiry(crash *Crash) time.Time {
	if slices.ContainsFunc(crash.Requests, func(request Request) bool { return request.Probed }) {
		return crash.At.Add(QuarantineFor)
	}
	return crash.At.Add(SuspectFor)
}

// expire drops the records that count no more.
func (b *Book) expire(now time.Time) {
	before := len(b.crashes)
	maps.DeleteFunc(b.crashes, func(_ CrashID, crash *Crash) bool { return !now.Before(expiry(crash)) })
	if len(b.crashes) < before {
		b.index()
	}
}

// limit drops the records that would be missed least: those in which all are cleared, then
// the oldest without a probe, then the oldest.
func (b *Book) limit() {
	if len(b.crashes) <= maxCrashes {
		return
	}
	all := slices.Collect(maps.Values(b.crashes))
	slices.SortFunc(all, func(a, b *Crash) int {
		if order := cmp.Compare(a.weight(), b.weight()); order != 0 {
			return order
		}
		return older(*a, *b)
	})
	for _, crash := range all[:len(all)-maxCrashes] {
		delete(b.crashes, crash.ID)
	}
}

// weight tells how much a record would be missed.
func (c *Crash) weight() int {
	weight := 0
	for _, request := range c.Requests {
		switch {
		case request.Cleared:
		case request.Probed:
			return 2
		default:
			weight = 1
		}
	}
	return weight
}

// index finds the contents that are suspected. Records change a few times a crash.
func (b *Book) index() {
	clear(b.suspected)
	for _, crash := range b.crashes {
		for _, request := range crash.Requests {
			if !request.Cleared {
				b.suspected[request.Fingerprint] = append(b.suspected[request.Fingerprint], crash)
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
