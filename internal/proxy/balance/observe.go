package balance

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// Observation is what the result of one attempt says about an instance.
type Observation uint8

// The observations.
const (
	// Answered is any complete response of the backend.
	Answered Observation = iota + 1
	// Refused is a refusal for lack of capacity, such as load shedding. It says
	// nothing about health.
	Refused
	// Failed is a failed or broken connection, a stalled response, or a 5xx response
	// of a proxy that is not a refusal.
	Failed
	// Leaving is a refusal because the instance is draining or is another process.
	Leaving
	// Cancelled says nothing about the instance, as when the caller disconnected.
	Cancelled
)

// Choice is the chosen instance for one request in flight.
type Choice struct {
	Endpoint membership.Endpoint

	balancer *Balancer
	service  *service
	instance *instance
	done     bool
}

// Report records the load that a response of the instance reported: used slots over
// all slots. The value is capped, since it may be outdated or wrong.
func (c *Choice) Report(load float64, now time.Time) {
	if !(load >= 0) { // also rejects NaN
		return
	}
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.instance.setLoad(min(load, maxReportedLoad), now)
}

// Leave records that the instance is draining, so that new requests avoid it. This
// request may continue.
func (c *Choice) Leave(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.instance.leavingUntil = now.Add(leavingLifetime)
}

// Done ends the request and records the observation. Calls after the first have no
// effect. It reports whether the observation caused the instance to be ejected.
func (c *Choice) Done(observed Observation, now time.Time) (ejected bool) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	if c.done {
		return false
	}
	c.done = true
	c.instance.inFlight--
	switch observed {
	case Answered:
		c.instance.failures = 0
		c.instance.ejections = 0
	case Failed:
		ejected = c.balancer.recordFailure(c.service, c.instance, now)
	case Refused:
		c.instance.setLoad(penaltyLoad, now)
	case Leaving:
		c.instance.leavingUntil = now.Add(leavingLifetime)
	case Cancelled:
	}
	return ejected
}

// recordFailure counts a failure and ejects the instance after several consecutive
// ones. If fewer than half of the instances would remain, it sets the penalty load
// instead. An instance whose ejection has ended is ejected again by its first failure.
func (b *Balancer) recordFailure(known *service, failed *instance, now time.Time) (ejected bool) {
	failed.failures++
	if failed.failures < failuresToEject || failed.ejectedAt(now) || b.mode == Random {
		return false
	}
	if !known.canEject(now) {
		failed.setLoad(penaltyLoad, now)
		return false
	}
	failed.ejectedUntil = now.Add(ejectionTime(failed.ejections))
	failed.ejections++
	return true
}

// canEject reports whether at least half of the instances remain after one more
// ejection.
func (s *service) canEject(now time.Time) bool {
	ejected := 0
	for _, candidate := range s.candidates {
		if candidate.ejectedAt(now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.candidates)
}

// ejectionTime returns how long an ejection lasts after the given number of earlier
// ones.
func ejectionTime(earlier int) time.Duration {
	lasting := baseEjectionTime
	for range earlier {
		lasting *= 2
		if lasting >= maxEjectionTime {
			return maxEjectionTime
		}
	}
	return lasting
}
