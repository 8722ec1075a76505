package suspects

import (
	"slices"
	"time"
)

// CrashID identifies one crash of one instance. It is chosen at random by the instance's
// sidecar, the only node that sees the crash.
type CrashID uint64

// Crash records one crash of an instance with the requests that were in progress there, any
// of which may have caused it.
type Crash struct {
	ID CrashID
	// Instance is the name of the instance, for operators.
	Instance string
	// At is when the crash was detected, by the clock of the node that holds the record.
	At time.Time
	// Requests were in progress; no two have the same fingerprint.
	Requests []Request
}

// Request is a request that was in progress at a crash.
type Request struct {
	Fingerprint Fingerprint
	// Probed is set if the request was sent as a probe and no other suspected request was in
	// progress at the instance.
	Probed bool
	// Cleared is set once an instance has answered a request with this fingerprint.
	Cleared bool
}

// MaxRequests limits the requests recorded for one crash. Instances have tens of slots.
const MaxRequests = 64

// clone returns a deep copy of c.
func (c Crash) clone() Crash {
	c.Requests = slices.Clone(c.Requests)
	return c
}

// merge applies the cleared flags of another copy of the record and reports whether c changed.
// The flags are only ever set, so copies converge in whatever order and however often they
// are merged.
func (c *Crash) merge(other Crash) (changed bool) {
	for _, remote := range other.Requests {
		if local := c.find(remote.Fingerprint); local != nil && remote.Cleared && !local.Cleared {
			local.Cleared, changed = true, true
		}
	}
	return changed
}

// find returns the request with the given fingerprint, or nil.
func (c *Crash) find(fingerprint Fingerprint) *Request {
	for i := range c.Requests {
		if c.Requests[i].Fingerprint == fingerprint {
			return &c.Requests[i]
		}
	}
	return nil
}
