package suspects

import (
	"slices"
	"time"
)

// CrashID names one crash of one instance. It is drawn at random by the node beside the
// instance, which alone sees the crash.
type CrashID uint64

// Crash is one crash of an instance with the requests that were in progress there: one of
// them may have caused it.
type Crash struct {
	ID CrashID
	// Instance is the name of the instance, for operators.
	Instance string
	// At is when the crash was found, by the clock of the node that holds the record.
	At time.Time
	// Requests were in progress; no two have the same fingerprint.
	Requests []Request
}

// Request is the part of one content in a crash.
type Request struct {
	Fingerprint Fingerprint
	// Probed says that the request was a probe: it ran under suspicion, and no other suspect
	// was in progress at the instance.
	Probed bool
	// Cleared says that an instance has answered a request of this content since.
	Cleared bool
}

// MaxRequests bounds the requests of one crash. Instances have tens of slots.
const MaxRequests = 64

// clone returns a copy that shares nothing with c.
func (c Crash) clone() Crash {
	c.Requests = slices.Clone(c.Requests)
	return c
}

// merge takes over what another copy of the record knows, and reports whether that is news.
// What can change of a record only goes one way, so that copies agree in whatever order and
// however often they meet.
func (c *Crash) merge(other Crash) (news bool) {
	for _, theirs := range other.Requests {
		if own := c.find(theirs.Fingerprint); own != nil && theirs.Cleared && !own.Cleared {
			own.Cleared, news = true, true
		}
	}
	return news
}

// find returns the part of a content, or nil.
func (c *Crash) find(content Fingerprint) *Request {
	for i := range c.Requests {
		if c.Requests[i].Fingerprint == content {
			return &c.Requests[i]
		}
	}
	return nil
}
