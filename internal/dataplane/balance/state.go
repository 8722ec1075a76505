package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// troubleWeight is the weight of one request in the share that failed lately.
	troubleWeight = 0.25
	// troubleHalfLife is how fast the share is forgotten, so that an instance that
	// was left alone is tried again.
	troubleHalfLife = 2 * time.Second
	// troubled is the share from which an instance is left to others where there are
	// some: two failures in a row, or about two in five.
	troubled = 0.35
	// troubleCost is how much dearer an instance all of whose requests fail seems.
	troubleCost = 8
	// silentFactor is how many times the usual time of a request nothing may come from
	// an instance that has some in progress; silentLeast is the least such time.
	silentFactor = 4
	silentLeast  = 300 * time.Millisecond
)

// state is what is known of one instance.
type state struct {
	outstanding int
	// reported is the load of the last report, reportedWith what this node had in
	// progress then.
	reported, reportedWith int
	reportedAt             time.Time
	// speed is the instance's service time over that of all.
	speed        float64
	lost         bool
	failures     int
	ejectedUntil time.Time
	busyUntil    time.Time
	warmAt       time.Time
	usedAt       time.Time
	// heardAt is when the instance or its node last answered, or when the first of
	// the requests in progress was sent, if that was later.
	heardAt time.Time
	// trouble is the share of requests that failed lately, as of troubleAt.
	trouble   float64
	troubleAt time.Time
}

// isFull reports whether the instance had no free slot a short while ago.
func (s *state) isFull(instance *snapshot.Instance, now time.Time) bool {
	return now.Sub(s.reportedAt) < fullAge && s.load(now) >= slotsOf(instance)
}

// load is what the instance has in progress, as far as is known.
func (s *state) load(now time.Time) int {
	if now.Sub(s.reportedAt) > reportAge {
		return s.outstanding
	}
	return max(s.outstanding, s.reported+s.outstanding-s.reportedWith)
}

// isSilent reports whether nothing has come for much longer than a request takes,
// though some are in progress: the instance hangs, or the way to it is cut.
func (s *state) isSilent(usual time.Duration, now time.Time) bool {
	return s.outstanding > 0 && now.Sub(s.heardAt) > max(silentFactor*usual, silentLeast)
}

// note takes over whether a request failed.
func (s *state) note(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	current := s.failing(now)
	s.trouble, s.troubleAt = current+(sample-current)*troubleWeight, now
}

// failing is the share of requests that failed lately.
func (s *state) failing(now time.Time) float64 {
	if s.trouble == 0 {
		return 0
	}
	return s.trouble * math.Exp2(-float64(now.Sub(s.troubleAt))/float64(troubleHalfLife))
}
