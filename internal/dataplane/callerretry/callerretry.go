// Package callerretry learns from the requests of each route how its callers behave: how long
// they wait in total, which distinguishes a retry after a refusal from a new request, and
// whether they retry at all. An instance that calls another service, for example, does not:
// a refusal of its call fails its own request.
package callerretry

import (
	"math"
	"sync"
	"time"
)

const (
	// minReturnShare is the share of refused requests that must have been retried for the
	// callers of a route to count as retrying.
	minReturnShare = 0.3
	// minRefusals is the number of refusals below which callers count as retrying.
	minRefusals = 5
	// halfLife is the half-life of the counts of refusals and retries.
	halfLife = 20 * time.Second
	// bucketsPerOctave is the resolution at which callers' wait times are distinguished.
	// Two times within a bucket (3.5 %) count as equal.
	bucketsPerOctave = 20
	// decayThreshold is the number of requests after which all counts are halved.
	decayThreshold = 256
	// maxPending limits the number of pending refusals of a route.
	maxPending = 1024
	// pressureHalfLife is the half-life of the counts behind Pressure.
	pressureHalfLife = time.Second
	// maxRoutes limits the number of routes that are tracked.
	maxRoutes = 10_000
)

// Caller is the assessment of the caller of one request.
type Caller struct {
	// Elapsed is the time since the caller first sent the request; zero for a new request.
	Elapsed time.Duration
	// RetriesRefused is set if callers of the route retry refused requests.
	RetriesRefused bool
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mutex  sync.Mutex
	routes map[string]*route
}

// New returns an empty Tracker. Without data, callers count as retrying.
func New() *Tracker { return &Tracker{routes: make(map[string]*route)} }

// route holds the data about the callers of one route.
type route struct {
	// times counts requests by the timeout that the caller sent, in buckets.
	times map[int]float64
	total float64
	// refused and returned count refusals and retries. They decay with halfLife and are as
	// of countedAt.
	refused, returned float64
	countedAt         time.Time
	// newRefused and newEnded count the refused ones and all of the new requests. They
	// decay with pressureHalfLife and are as of pressureAt.
	newRefused, newEnded float64
	pressureAt           time.Time
	// pending holds, for each refused request that may still be retried, when its caller
	// stops waiting.
	pending []time.Time
}

// Arrived records a request whose caller waits for callerTime, and returns the assessment
// of the caller.
func (t *Tracker) Arrived(name string, callerTime time.Duration, now time.Time) Caller {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.routeOf(name)
	known.advance(now)
	elapsed := known.elapsed(callerTime)
	known.recordTime(callerTime)
	if elapsed > 0 {
		known.returned++
	}
	return Caller{Elapsed: elapsed, RetriesRefused: known.retriesRefused()}
}

// Refused records that a request was refused without being executed.
func (t *Tracker) Refused(name string, callerTime time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.routeOf(name)
	known.advance(now)
	if len(known.pending) < maxPending {
		known.pending = append(known.pending, now.Add(callerTime))
	}
}

// Ended records the end of a request and whether it was refused.
func (t *Tracker) Ended(name string, caller Caller, refused bool, now time.Time) {
	if caller.Elapsed > 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.routeOf(name)
	known.decayPressure(now)
	known.newEnded++
	if refused {
		known.newRefused++
	}
}

// Pressure returns the share of new requests that were refused recently, from 0 to 1. If it
// is high, retries have little chance.
func (t *Tracker) Pressure(name string, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.routeOf(name)
	known.decayPressure(now)
	return known.newRefused / (known.newEnded + 1)
}

func (r *route) decayPressure(now time.Time) {
	factor := decayFactor(r.pressureAt, now, pressureHalfLife)
	r.newRefused *= factor
	r.newEnded *= factor
	r.pressureAt = now
}

// decayFactor returns the factor by which a count has decayed between since and now. The
// zero time means that nothing has been counted yet.
func decayFactor(since, now time.Time, halfLife time.Duration) float64 {
	if since.IsZero() {
		return 1
	}
	return math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
}

func (t *Tracker) routeOf(name string) *route {
	known := t.routes[name]
	if known == nil {
		if len(t.routes) >= maxRoutes {
			t.routes = make(map[string]*route)
		}
		known = &route{times: make(map[int]float64)}
		t.routes[name] = known
	}
	return known
}

// advance counts the refusals whose callers have no time left to retry, and decays the
// counts.
func (r *route) advance(now time.Time) {
	factor := decayFactor(r.countedAt, now, halfLife)
	r.refused *= factor
	r.returned *= factor
	r.countedAt = now
	expired := 0
	for expired < len(r.pending) && !r.pending[expired].After(now) {
		expired++
	}
	r.refused += float64(expired)
	r.pending = r.pending[expired:]
	if len(r.pending) == 0 {
		r.pending = nil
	}
}

func (r *route) retriesRefused() bool {
	return r.refused < minRefusals || r.returned >= minReturnShare*r.refused
}

// elapsed returns by how much the caller's wait time is shorter than the usual one. A caller
// that waits longer than usual counts as new.
func (r *route) elapsed(callerTime time.Duration) time.Duration {
	usual, known := r.usualBucket()
	if !known || bucketOf(callerTime) >= usual {
		return 0
	}
	return max(bucketTime(usual)-callerTime, 0)
}

// usualBucket returns the bucket of the most frequent wait time. This is the wait time of
// new requests, as the remaining times of retries vary.
func (r *route) usualBucket() (usual int, known bool) {
	highest := 0.0
	for bucket, count := range r.times {
		if count > highest || count == highest && bucket > usual {
			usual, highest, known = bucket, count, true
		}
	}
	return usual, known
}

func (r *route) recordTime(callerTime time.Duration) {
	r.times[bucketOf(callerTime)]++
	r.total++
	if r.total < decayThreshold {
		return
	}
	r.total = 0
	for bucket, count := range r.times {
		if count /= 2; count < 1 {
			delete(r.times, bucket)
			continue
		}
		r.times[bucket] = count
		r.total += count
	}
}

// bucketOf returns the bucket whose center is closest.
func bucketOf(callerTime time.Duration) int {
	return int(math.Round(bucketsPerOctave * math.Log2(float64(max(callerTime, time.Millisecond)))))
}

func bucketTime(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket) / bucketsPerOctave))
}
