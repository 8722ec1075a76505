package inbound

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/dataplane/ratelimit"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// ColdBounds set by how much the cold rate of a service may be exceeded: in each second the
// whole fleet may send Overage x rate + Slack requests to a cold instance.
type ColdBounds struct {
	// Overage multiplies the rate. Values below 1 are treated as 1.
	Overage float64
	// Slack is a number of requests that is added to the multiplied rate.
	Slack float64
}

// slackMargin is the part of the slack, in requests, that is left unused: requests in
// flight to the instance may arrive within the same second.
const slackMargin = 2

// boundsOf returns the bounds for a cold instance of a service.
func (b ColdBounds) boundsOf(service snapshot.Service) ratelimit.Bounds {
	return ratelimit.Bounds{
		Rate:  service.ColdRate * max(b.Overage, 1),
		Burst: max(b.Slack-slackMargin, 1),
	}
}

// allowanceOf returns how many requests an instance of a service may get in a second in which it may turn cold
// without notice; zero: any number, as cold instances have no limit or cannot be asked.
func (b ColdBounds) allowanceOf(service snapshot.Service) int {
	if service.ColdRate <= 0 || service.HealthPath == "" {
		return 0
	}
	bounds := b.boundsOf(service)
	return int(bounds.Rate + bounds.Burst)
}

// coldTracker limits the requests to the local instance while it is or may be cold. All requests to the
// instance pass through this node, so the limit is exact for the whole fleet without coordination. It implements
// queue.RateLimiter.
type coldTracker struct {
	bounds ColdBounds
	// backend is the address of the instance; service and zone are those of the node.
	backend, service, zone string
	// limit holds requests back while the instance counts as cold.
	limit   *ratelimit.Limit
	checker *healthChecker
	// checksEnabled is set if the instance is asked whether it is cold.
	checksEnabled bool
	checks        *prometheus.CounterVec
	logger        logrus.FieldLogger
	// limitChanged is called after the limit has changed while requests may be waiting.
	limitChanged func()

	mutex sync.Mutex
	phase coldstart.Phase
	// phaseChangedAt is when the phase last changed by anything but a check; assumedInstance is the instance that
	// was not listed then, empty: it was listed.
	phaseChangedAt  time.Time
	assumedInstance string
	// allowance limits the requests while the instance counts as warm but may have turned cold.
	allowance  coldstart.Allowance
	healthPath string
	// firstCheck is closed at the end of the first check; nil until that is sent. checkFailing is set while
	// checks fail.
	firstCheck   chan struct{}
	checkFailing bool
	// lastSnapshot is the snapshot that was applied last.
	lastSnapshot *snapshot.Snapshot
	// endedEvacuations is the last known number of times that an evacuation of the zone was ended.
	endedEvacuations int
	// lastUnlistedInstance is the last instance that a sender with a newer configuration
	// addressed before it was listed here.
	lastUnlistedInstance string
}

func newColdTracker(options Options, limitChanged func()) *coldTracker {
	return &coldTracker{
		bounds: options.Cold, backend: options.Backend, service: options.Service, zone: options.Zone,
		limit: ratelimit.NewLimit(time.Now()), logger: options.Logger, limitChanged: limitChanged,
		checker: newHealthChecker(options.Names, options.Backend), checksEnabled: options.Mechanisms.ColdChecks,
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_cold_checks_total",
			Help: "Health checks that asked the instance beside the node whether it is cold, by result (warm, cold, failed).",
		}, []string{"result"}),
	}
}

// coldSource is where a belief about a cold instance comes from.
type coldSource string

// The sources of beliefs.
const (
	coldByEntry      coldSource = "entry"
	coldByEvacuation coldSource = "evacuation-ended"
	coldByUnlisted   coldSource = "not-listed-yet"
	coldByHealth     coldSource = "health"
)

// update applies the instance's entry in the current configuration. After the evacuation
// of the zone has ended, its instances may be cold although their entries do not say so
// yet.
func (c *coldTracker) update(current *snapshot.Snapshot, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lastSnapshot == current {
		return
	}
	c.lastSnapshot = current
	before := c.phase.Until()
	if instance, listed := current.InstanceAt(c.backend); listed {
		c.phase.Follow(instance, now)
		c.noteChange(before, coldByEntry, instance.Name, current.Version(), now)
	}
	service, _ := current.Service(c.service)
	if c.checksEnabled {
		c.healthPath = service.HealthPath
		c.allowance.SetPerSecond(c.bounds.allowanceOf(service), now)
	}
	if ended := current.EndedEvacuations(c.zone); ended != c.endedEvacuations {
		c.endedEvacuations = ended
		c.assumeCold(coldByEvacuation, "", current, now)
		return
	}
	c.limitCold(service, now)
	c.startCheckIfDue(now)
}

// assumeCold treats the instance as cold for as long as one that has just started, or until it states otherwise:
// it is asked at once. The caller must hold the mutex.
func (c *coldTracker) assumeCold(source coldSource, instance string, current *snapshot.Snapshot, now time.Time) {
	service, _ := current.Service(c.service)
	before := c.phase.Until()
	c.phase.AssumeCold(coldDuration(service), now)
	c.noteChange(before, source, instance, current.Version(), now)
	c.assumedInstance = instance
	c.limitCold(service, now)
	if c.allowance.TakeExtraCheck(now) {
		c.startCheck(now)
	}
}

// noteChange records and logs a change of the phase that is not by a check. The caller must hold the mutex.
func (c *coldTracker) noteChange(before time.Time, source coldSource, instance string, version snapshot.Version, now time.Time) {
	if !c.phase.Until().Equal(before) {
		c.phaseChangedAt = now
	}
	c.logChange(before, source, instance, version, now)
}

// logChange logs until when the instance counts as cold, if that is no longer what it was before. The version is
// that of the configuration that says so, or is zero. The caller must hold the mutex.
func (c *coldTracker) logChange(before time.Time, source coldSource, instance string, version snapshot.Version, now time.Time) {
	until := c.phase.Until()
	if until.Equal(before) || !until.After(now) && !before.After(now) {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"source": string(source), "instance": instance, "service": c.service, "version": version.String(),
		"cold_ms": max(until.Sub(now), 0).Milliseconds(), "before_ms": max(before.Sub(now), 0).Milliseconds(),
	}).Info("the time for which the instance counts as cold has changed")
}

// noteUnlisted records that a sender with a newer configuration addressed an instance that
// is not listed here yet. The instance has just started and is treated as cold.
func (c *coldTracker) noteUnlisted(name string, current *snapshot.Snapshot, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lastUnlistedInstance == name {
		return
	}
	c.lastUnlistedInstance = name
	c.assumeCold(coldByUnlisted, name, current, now)
}

// limitCold applies the time until which the instance counts as cold. The caller must hold the mutex.
func (c *coldTracker) limitCold(service snapshot.Service, now time.Time) {
	c.limit.Set(c.bounds.boundsOf(service), c.phase.Until(), now)
	c.allowance.SetCold(c.phase.Until())
}

func coldDuration(service snapshot.Service) time.Duration {
	return time.Duration(service.ColdMillis) * time.Millisecond
}

// Begin implements queue.RateLimiter.
func (c *coldTracker) Begin(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delay := c.allowance.Delay(0, now)
	if delay == 0 {
		delay = c.limit.Begin(now)
	}
	if delay == 0 {
		c.allowance.Start(now)
	}
	c.startCheckIfDue(now)
	return delay
}

// Delay implements queue.RateLimiter.
func (c *coldTracker) Delay(before int, now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(c.limit.Delay(before, now), c.allowance.Delay(before, now))
}
