package inbound

import (
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/coldstart"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// ColdBounds are the tolerance above the cold rate of a service, as operators set it: in
// each second the whole fleet may send a cold instance Overage x rate + Slack requests.
type ColdBounds struct {
	// Overage multiplies the rate; below 1 counts as 1.
	Overage float64
	// Slack is added to it, in requests.
	Slack float64
}

// slackMargin is the part of the slack that is left unused, in requests: those that are
// on their way to the instance may meet in one second.
const slackMargin = 2

// boundsOf returns the bounds for a cold instance of a service.
func (b ColdBounds) boundsOf(service snapshot.Service) coldstart.Bounds {
	return coldstart.Bounds{
		Rate:  service.ColdRate * max(b.Overage, 1),
		Burst: max(b.Slack-slackMargin, 1),
	}
}

// coldness follows when the instance beside the node is cold. All requests to it pass
// here, so that the limit is exact for the whole fleet without any agreement.
type coldness struct {
	bounds ColdBounds
	// backend is the address of the instance, service and zone are those of the node.
	backend, service, zone string
	limit                  *coldstart.Limit

	mutex sync.Mutex
	phase coldstart.Phase
	// followed is what was in force when the instance was last looked at.
	followed *snapshot.Snapshot
	// returns are those of the zone that were seen.
	returns int
	// unlisted is the last instance that a sender named before it was listed here.
	unlisted string
}

func newColdness(options Options) *coldness {
	return &coldness{
		bounds: options.Cold, backend: options.Backend, service: options.Service, zone: options.Zone,
		limit: coldstart.NewLimit(time.Now()),
	}
}

// follow takes over what the configuration says of the instance. When the evacuation of
// the zone was taken back, its instances may be cold although their entries do not say
// so yet.
func (c *coldness) follow(current *snapshot.Snapshot, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.followed == current {
		return
	}
	c.followed = current
	if instance, listed := current.InstanceAt(c.backend); listed {
		c.phase.Follow(instance, now)
	}
	service, _ := current.Service(c.service)
	if returns := current.ZoneReturns(c.zone); returns != c.returns {
		c.returns = returns
		c.phase.Presume(coldTime(service), now)
	}
	c.limit.Set(c.bounds.boundsOf(service), c.phase.Until(), now)
}

// started takes over that a sender, which knows a newer configuration, names an instance
// that is not listed here yet: it has just started.
func (c *coldness) started(name string, current *snapshot.Snapshot, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unlisted == name {
		return
	}
	c.unlisted = name
	service, _ := current.Service(c.service)
	c.phase.Presume(coldTime(service), now)
	c.limit.Set(c.bounds.boundsOf(service), c.phase.Until(), now)
}

func coldTime(service snapshot.Service) time.Duration {
	return time.Duration(service.ColdMillis) * time.Millisecond
}
