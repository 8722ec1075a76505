package inbound

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// probeRate is the rate, in requests per second, up to which an instance gets requests however low
	// its limit is: only the answer to a request tells that the limit has ended.
	probeRate = 0.95
	// burstTime is the time for which a limit may be saved up, burstRequests the least number of
	// requests.
	burstTime     = 100 * time.Millisecond
	burstRequests = 1
	// confirmationTTL is how long a limit counts that no answer confirms, in addition to answerTimes times
	// the time that answers take. The instance may have lowered it since: requests then start at probeRate
	// until an answer tells.
	confirmationTTL = 500 * time.Millisecond
	answerTimes     = 2
	// answerTimeDecay is the part of the longest answer time that is kept with each answer.
	answerTimeDecay = 0.95
)

// boundsOf returns the bounds for an instance that states a limit.
func boundsOf(limit statement.Limit) ratelimit.Bounds {
	if !limit.Stated {
		return ratelimit.Bounds{}
	}
	return ratelimit.Bounds{
		Rate:  max(limit.PerSecond, probeRate),
		Burst: burstRequests + limit.PerSecond*burstTime.Seconds(),
	}
}

// statedLimit applies the limit that the local instance states. All requests to the instance pass this
// node, so the limit is exact for the whole fleet without coordination. A node that has just started knows
// no limit until the instance answers; until then those count that senders have heard before. It
// implements queue.RateLimiter.
type statedLimit struct {
	statements *statement.Tracker
	bucket     *ratelimit.Limit
	// limiting is set while there is a limit: without one, requests take no lock.
	limiting atomic.Bool

	mutex sync.Mutex
	// process is the process of the instance to which limit applies.
	process snapshot.InstanceID
	limit   statement.Limit
	// answered is set once this node has received an answer of the process. Senders then know nothing
	// that this node does not.
	answered bool
	// confirmedAt is when the last answer of the process was received, answerTime how long recent answers
	// took at most. slowed is set if confirmedAt is so long ago that requests start at probeRate.
	confirmedAt time.Time
	answerTime  time.Duration
	slowed      bool
	// started counts the requests that have started while there is a limit.
	started startCounter
}

func newStatedLimit(statements *statement.Tracker, now time.Time) *statedLimit {
	return &statedLimit{statements: statements, bucket: ratelimit.NewLimit(now), started: startCounter{epoch: now}}
}

// observe records what an answer of a process states. It returns how that changes the record of the process,
// the record, and whether the rate at which requests start changed.
func (s *statedLimit) observe(process snapshot.InstanceID, stated statement.Statement, sent, now time.Time) (change statement.Change, record statement.Record, limitChanged bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change = s.statements.Observe(process, stated, sent, now)
	record = s.statements.Get(process)
	s.follow(process, now)
	wasSlowed := s.slowed
	s.answered, s.confirmedAt, s.slowed = true, now, false
	s.answerTime = max(now.Sub(sent), time.Duration(answerTimeDecay*float64(s.answerTime)))
	isLowered := s.limit.Stated && record.Limit().Stated && record.Limit().PerSecond < s.limit.PerSecond
	limitChanged = s.apply(record.Limit(), now)
	if isLowered {
		s.oweExcess(sent, now)
	}
	if wasSlowed && !limitChanged {
		s.setBounds(now)
		limitChanged = true
	}
	return change, record, limitChanged
}

// assume applies the limit of a process that a sender has heard of, if this node has no answer of the
// process yet. Of several the lowest counts. It reports whether the limit changed.
func (s *statedLimit) assume(process snapshot.InstanceID, heard statement.Limit, now time.Time) bool {
	if !heard.Stated && !s.limiting.Load() {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := s.follow(process, now)
	if s.answered || !heard.Stated || s.limit.Stated && s.limit.PerSecond <= heard.PerSecond {
		return changed
	}
	return s.apply(heard, now)
}

// follow makes the limit that of a process: a limit ends with the process that stated it. It reports
// whether the limit changed. The caller must hold the mutex.
func (s *statedLimit) follow(process snapshot.InstanceID, now time.Time) bool {
	if isSameProcess(s.process, process) {
		s.process.StartedMillis = max(s.process.StartedMillis, process.StartedMillis)
		return false
	}
	s.process, s.answered, s.slowed, s.answerTime = process, false, false, 0
	return s.apply(statement.Limit{}, now)
}

// isSameProcess reports whether two ids may be of one process: the start time is not known before the
// instance is listed.
func isSameProcess(a, b snapshot.InstanceID) bool {
	return a.Name == b.Name && (a.StartedMillis == b.StartedMillis || a.StartedMillis == 0 || b.StartedMillis == 0)
}

// apply sets the limit and reports whether it changed. The caller must hold the mutex.
func (s *statedLimit) apply(limit statement.Limit, now time.Time) bool {
	if limit == s.limit {
		return false
	}
	s.limit = limit
	s.limiting.Store(limit.Stated)
	s.setBounds(now)
	return true
}

// setBounds applies the limit to the bucket. The caller must hold the mutex.
func (s *statedLimit) setBounds(now time.Time) {
	effective := s.limit
	if s.slowed {
		effective.PerSecond = min(effective.PerSecond, probeRate)
	}
	s.bucket.Set(boundsOf(effective), ratelimit.Forever, now)
}

// oweExcess makes what has started beyond a lowered limit, since a request was sent whose answer tells of it,
// count against those that start next. The caller must hold the mutex.
func (s *statedLimit) oweExcess(since, now time.Time) {
	allowed := boundsOf(s.limit).Rate * now.Sub(since).Seconds()
	s.bucket.Owe(float64(s.started.since(since, now))-allowed, now)
}

// slowUnconfirmed slows the requests down if no answer has confirmed the limit for too long. The caller
// must hold the mutex.
func (s *statedLimit) slowUnconfirmed(now time.Time) {
	if s.limit.Stated && !s.slowed && now.Sub(s.confirmedAt) > confirmationTTL+answerTimes*s.answerTime {
		s.slowed = true
		s.setBounds(now)
	}
}

// Begin implements queue.RateLimiter.
func (s *statedLimit) Begin(now time.Time) time.Duration {
	if !s.limiting.Load() {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowUnconfirmed(now)
	delay := s.bucket.Begin(now)
	if delay == 0 {
		s.started.add(now)
	}
	return delay
}

// Delay implements queue.RateLimiter.
func (s *statedLimit) Delay(before int, now time.Time) time.Duration {
	if !s.limiting.Load() {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowUnconfirmed(now)
	return s.bucket.Delay(before, now)
}

// rateLimits applies both the limit of a cold instance and the one that the instance states. It
// implements queue.RateLimiter.
type rateLimits struct {
	cold   queue.RateLimiter
	stated *statedLimit
}

// Begin implements queue.RateLimiter.
func (l rateLimits) Begin(now time.Time) time.Duration {
	if delay := l.Delay(0, now); delay > 0 {
		return delay
	}
	if delay := l.cold.Begin(now); delay > 0 { // an answer has just told that the instance is cold
		return delay
	}
	return l.stated.Begin(now)
}

// Delay implements queue.RateLimiter.
func (l rateLimits) Delay(before int, now time.Time) time.Duration {
	return max(l.cold.Delay(before, now), l.stated.Delay(before, now))
}

// reason returns which of the limits makes requests wait for longer.
func (l rateLimits) reason(now time.Time) hop.Reason {
	if l.stated.limiting.Load() && l.stated.Delay(0, now) >= l.cold.Delay(0, now) {
		return hop.ReasonLimited
	}
	return hop.ReasonCold
}
