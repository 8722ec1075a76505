package inbound

import (
	"math"
	"time"
)

// linkDemand is what decides whether the response of a request can be sent in time over the egress
// direction of the machine's link.
type linkDemand struct {
	// backlog is how long the link takes to send what is queued and expected, and rate its rate in bytes
	// per second; zero: not known.
	backlog time.Duration
	rate    float64
	// bytes is the expected size of the response.
	bytes int64
	// slotWait is the expected wait for a slot, and serviceTime how long the instance is expected to
	// work on the request.
	slotWait, serviceTime time.Duration
	// maxWait is how long the request may wait in all, and remaining the time to its deadline.
	maxWait, remaining time.Duration
}

// wait returns how long the response is expected to wait for the link: the part of the backlog that is
// not sent by the time at which the response is ready.
func (d linkDemand) wait() time.Duration {
	return max(d.backlog-d.slotWait-d.serviceTime, 0)
}

// transmission returns how long the link takes to send the response.
func (d linkDemand) transmission() time.Duration {
	return time.Duration(float64(d.bytes) / d.rate * float64(time.Second))
}

// isKnown reports whether the figures allow a decision.
func (d linkDemand) isKnown() bool {
	return d.rate > 0 && !math.IsInf(d.rate, 0) && d.bytes > 0 && d.backlog >= 0
}

// excess returns by how much the request would exceed the time that it may wait or that is left to its
// deadline; zero: its response can be sent in time. A request that would wait for a slot alone is left to
// the queue.
func (d linkDemand) excess() time.Duration {
	if !d.isKnown() {
		return 0
	}
	slotWait, linkWait := max(d.slotWait, 0), d.wait()
	excess := slotWait + max(d.serviceTime, 0) + linkWait + d.transmission() - d.remaining
	if linkWait > 0 {
		excess = max(excess, slotWait+linkWait-d.maxWait)
	}
	return max(excess, 0)
}
