package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// failureWeight is the weight of one request in the share that failed lately.
	failureWeight = 0.25
	// failureHalfLife is how fast the share is forgotten, so that an instance that
	// was left alone is tried again.
	failureHalfLife = 2 * time.Second
	// silentFactor is how many times the usual time of a request nothing may come from
	// an instance that has some in progress; silentLeast is the least such time.
	silentFactor = 4
	silentLeast  = 300 * time.Millisecond

	// speedWeight is the weight of one measurement in an instance's speed: one in so many.
	speedWeight = 12
	// speedHalfLife is how fast it is forgotten while nothing is measured.
	speedHalfLife = 10 * time.Second
	// Bounds of one measurement, and of the speed.
	leastRatio, mostRatio = 0.1, 10.0
	leastSpeed, mostSpeed = 0.2, 8.0
)

// state is what is known of one instance.
type state struct {
	// born tells the life of the instance that all of this is about.
	born        int64
	outstanding int
	// reported is the load of the last report, reportedWith what this node had in
	// progress then.
	reported, reportedWith int
	reportedAt             time.Time
	// backlog is how long the link to the instance was taken by large bodies then, and
	// linkRate how fast it takes them, in bytes a second; zero: not known.
	backlog  time.Duration
	linkRate float64
	// speed is the instance's service time over that of all, as of measuredAt; speedReported says
	// that the node beside the instance measures it, by the requests of all senders.
	speed         float64
	measuredAt    time.Time
	speedReported bool
	lost          bool
	failures      int
	ejectedUntil  time.Time
	busyUntil     time.Time
	// cold tells until when the instance is cold, by the list and by its node.
	cold coldstart.Phase
	// pacedUntil is when the instance, being cold, can take the next request.
	pacedUntil time.Time
	usedAt     time.Time
	// heardAt is when the instance or its node last answered, or when the first of
	// the requests in progress was sent, if that was later.
	heardAt time.Time
	// failureShare is the share of requests that failed lately, as of failuresAt.
	failureShare float64
	failuresAt   time.Time
}

// isFull reports whether the instance had no free slot a short while ago.
func (s *state) isFull(instance *snapshot.Instance, now time.Time) bool {
	return now.Sub(s.reportedAt) < fullAge && s.load(0, now) >= slotsOf(instance)
}

// isFresh reports whether the last report of the load still counts.
func (s *state) isFresh(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= reportAge
}

// load is what the instance has in progress, as far as is known: without a report that
// counts, what is usual at instances of its service.
func (s *state) load(usual int, now time.Time) int {
	if !s.isFresh(now) {
		return max(s.outstanding, usual)
	}
	return max(s.outstanding, s.reported+s.outstanding-s.reportedWith)
}

// wait is how long a request would wait for a slot where requests take mean.
func (s *state) wait(instance *snapshot.Instance, load int, mean time.Duration, now time.Time) time.Duration {
	slots := slotsOf(instance)
	wait := time.Duration(0)
	if ahead := load + 1 - slots; ahead > 0 {
		wait = mean * time.Duration(ahead) / time.Duration(slots)
	}
	if s.busyUntil.After(now) {
		wait = max(wait, mean)
	}
	return wait
}

// transfer is how long a body takes to the instance, its wait for the link included.
func (s *state) transfer(bytes int, now time.Time) time.Duration {
	if s.linkRate <= 0 || bytes < transfer.LargeBody {
		return 0
	}
	own := time.Duration(float64(bytes) / s.linkRate * float64(time.Second))
	return own + max(s.backlog-now.Sub(s.reportedAt), 0)
}

// speedAt is the instance's speed, of which less is known the older it is.
func (s *state) speedAt(now time.Time) float64 {
	age := now.Sub(s.measuredAt)
	if s.measuredAt.IsZero() || age <= 0 {
		return s.speed
	}
	return 1 + (s.speed-1)*math.Exp2(-float64(age)/float64(speedHalfLife))
}

// coldness is how many times longer requests take as the instance warms up.
func (s *state) coldness(now time.Time) float64 {
	if s.cold.Until().After(now) {
		return coldFactor
	}
	return 1
}

// measure takes over the ratio of a service time to that of an ordinary instance.
func (s *state) measure(ratio float64, now time.Time) {
	current := s.speedAt(now)
	current += (min(max(ratio, leastRatio), mostRatio) - current) / speedWeight
	s.speed, s.measuredAt = min(max(current, leastSpeed), mostSpeed), now
}

// takeReportedSpeed takes over what the node beside the instance measured, in hundredths.
func (s *state) takeReportedSpeed(hundredths int, now time.Time) {
	if hundredths <= 0 {
		return
	}
	ratio := float64(hundredths) / 100 / s.coldness(now)
	s.speed, s.measuredAt, s.speedReported = min(max(ratio, leastSpeed), mostSpeed), now, true
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
	s.failureShare, s.failuresAt = current+(sample-current)*failureWeight, now
}

// failing is the share of requests that failed lately.
func (s *state) failing(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * math.Exp2(-float64(now.Sub(s.failuresAt))/float64(failureHalfLife))
}

// isPaced reports whether the instance is cold and can't take the next request yet. What
// was said while it was cold doesn't count once it is warm.
func (s *state) isPaced(now time.Time) bool {
	return s.pacedUntil.After(now) && s.cold.Until().After(now)
}
