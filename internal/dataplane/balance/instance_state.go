package balance

import (
	"math"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// failureWeight is the weight of one request in the failure rate.
	failureWeight = 0.25
	// failureRateHalfLife is the half-life of the failure rate, so that an avoided instance
	// is tried again.
	failureRateHalfLife = 2 * time.Second
	// silenceFactor is how many times the usual service time an instance with requests in
	// progress may be silent; minSilence is the lower bound of that time.
	silenceFactor = 4
	minSilence    = 300 * time.Millisecond

	// slowdownDivisor is the reciprocal of the weight of one measurement in an instance's
	// slowdown.
	slowdownDivisor = 12
	// slowdownHalfLife is the half-life of the slowdown while nothing is measured.
	slowdownHalfLife = 10 * time.Second
	// Bounds of one measurement, and of the slowdown itself.
	minSlowdownSample, maxSlowdownSample = 0.1, 10.0
	minSlowdown, maxSlowdown             = 0.2, 8.0
)

// instanceState is what the balancer knows about one instance.
type instanceState struct {
	// startedMillis is the start time of the process that this state describes. A process that
	// restarts under the same name gets a new state.
	startedMillis int64
	outstanding   int
	// reportedLoad is the load of the last report; outstandingAtReport is the number of
	// requests that this node had in progress then.
	reportedLoad, outstandingAtReport int
	reportedAt                        time.Time
	// backlog is how long the link to the instance was occupied by large bodies at the time
	// of the report; linkRate is the rate of the link in bytes per second; zero: not known.
	backlog  time.Duration
	linkRate float64
	// link is the link by which the instance's node sends its responses.
	link linkState
	// slowdown is the instance's service time divided by that of an average instance, as of
	// slowdownUpdatedAt. slowdownReported says that the instance's sidecar measured
	// it, from the requests of all senders.
	slowdown          float64
	slowdownUpdatedAt time.Time
	slowdownReported  bool
	// momentary is the slowdown beyond that, as the instance states it itself.
	momentary momentarySlowdown
	// ejected is set from an ejection until the instance answers again.
	ejected             bool
	consecutiveFailures int
	ejectedUntil        time.Time
	busyUntil           time.Time
	// cold tells until when the instance warms up, by its entry and by its node.
	cold coldstart.Phase
	// rateLimitedUntil is when the instance, while warming up, accepts the next request.
	rateLimitedUntil time.Time
	// limitedUntil is when an instance that has reached its stated limit is tried again, limitRoomAt when
	// it was to have room again.
	limitedUntil, limitRoomAt time.Time
	lastPickedAt              time.Time
	// silentSince is when the instance or its node last answered, or when the first of
	// the requests in progress was sent if that was later.
	silentSince time.Time
	// failureRate is the share of recent requests that failed, as of failureRateUpdatedAt.
	failureRate          float64
	failureRateUpdatedAt time.Time
}

// isFull reports whether the instance had no free slot a short while ago.
func (s *instanceState) isFull(instance *snapshot.Instance, now time.Time) bool {
	return now.Sub(s.reportedAt) < fullInstancePeriod && s.load(0, now) >= slotsOf(instance)
}

// isFresh reports whether the last load report is still used.
func (s *instanceState) isFresh(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= maxReportAge
}

// load returns the estimated number of requests at the instance. Without a fresh report,
// it is the expected load of an instance of the service.
func (s *instanceState) load(expected int, now time.Time) int {
	if !s.isFresh(now) {
		return max(s.outstanding, expected)
	}
	return max(s.outstanding, s.reportedLoad+s.outstanding-s.outstandingAtReport)
}

// slotWait returns how long a request would wait for a slot if requests take mean on
// average.
func (s *instanceState) slotWait(instance *snapshot.Instance, load int, mean time.Duration, now time.Time) time.Duration {
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

// transferTime returns how long a body takes to the instance, including its wait for the
// link.
func (s *instanceState) transferTime(bytes int, now time.Time) time.Duration {
	if s.linkRate <= 0 || bytes < transfer.MinQueuedBytes {
		return 0
	}
	own := time.Duration(float64(bytes) / s.linkRate * float64(time.Second))
	return own + max(s.backlog-now.Sub(s.reportedAt), 0)
}

// slowdownAt returns the instance's slowdown, which decays towards 1 as it ages.
func (s *instanceState) slowdownAt(now time.Time) float64 {
	age := now.Sub(s.slowdownUpdatedAt)
	if s.slowdownUpdatedAt.IsZero() || age <= 0 {
		return s.slowdown
	}
	return 1 + (s.slowdown-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// warmUpSlowdown returns how many times longer requests take because the instance is
// warming up.
func (s *instanceState) warmUpSlowdown(now time.Time) float64 {
	if s.cold.Until().After(now) {
		return coldSlowdown
	}
	return 1
}

// recordSlowdown adds a measured ratio of the instance's service time to that of an average
// instance.
func (s *instanceState) recordSlowdown(ratio float64, now time.Time) {
	current := s.slowdownAt(now)
	current += (min(max(ratio, minSlowdownSample), maxSlowdownSample) - current) / slowdownDivisor
	s.slowdown, s.slowdownUpdatedAt = min(max(current, minSlowdown), maxSlowdown), now
}

// setReportedSlowdown sets the slowdown that the instance's sidecar measured, in
// hundredths.
func (s *instanceState) setReportedSlowdown(hundredths int, now time.Time) {
	if hundredths <= 0 {
		return
	}
	ratio := float64(hundredths) / 100 / s.warmUpSlowdown(now)
	s.slowdown, s.slowdownUpdatedAt, s.slowdownReported = min(max(ratio, minSlowdown), maxSlowdown), now, true
}

// isSilent reports whether requests are in progress and nothing came for much longer than
// a request takes: the instance hangs, or the network to it is interrupted.
func (s *instanceState) isSilent(usual time.Duration, now time.Time) bool {
	return s.outstanding > 0 && now.Sub(s.silentSince) > max(silenceFactor*usual, minSilence)
}

// recordOutcome adds to the failure rate whether a request failed.
func (s *instanceState) recordOutcome(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	current := s.failureRateAt(now)
	s.failureRate, s.failureRateUpdatedAt = current+(sample-current)*failureWeight, now
}

// failureRateAt returns the share of recent requests that failed, decayed by its age.
func (s *instanceState) failureRateAt(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now.Sub(s.failureRateUpdatedAt))/float64(failureRateHalfLife))
}

// isRateLimited reports whether the instance does not accept the next request yet, because it is
// warming up or states a limit. A rate limit from the warm-up does not apply once the instance is warm.
func (s *instanceState) isRateLimited(now time.Time) bool {
	return s.limitedUntil.After(now) || s.rateLimitedUntil.After(now) && s.cold.Until().After(now)
}

// rateLimitEnd returns when a rate-limited instance accepts the next request.
func (s *instanceState) rateLimitEnd(now time.Time) time.Time {
	if s.limitedUntil.After(now) {
		return s.limitRoomAt
	}
	return s.rateLimitedUntil
}
