package balance

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// Observation is what one send of a request told about an instance.
type Observation uint8

// The observations.
const (
	// Answered is any whole answer of the back end.
	Answered Observation = iota + 1
	// Refused is a refusal for want of room, such as shedding. It says nothing
	// about health.
	Refused
	// Failed is a failed connection, a broken one, a stalled answer or a 5xx of
	// the system that is not a refusal.
	Failed
	// Leaving is a refusal because the instance drains or is another process.
	Leaving
	// Cancelled tells nothing, as when the caller went away.
	Cancelled
)

// Choice is one request in flight to one instance.
type Choice struct {
	Endpoint membership.Endpoint

	balancer *Balancer
	service  *service
	instance *instance
	done     bool
}

// Report takes over the load that an answer of the instance told: used slots
// over all slots. It is a hint and bounded, since it may lag or be wrong.
func (c *Choice) Report(load float64, now time.Time) {
	if !(load >= 0) { // refuses NaN too
		return
	}
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.instance.count(min(load, maximumReport), now)
}

// Leave records that the instance drains: it gets no new work, while this
// request may go on.
func (c *Choice) Leave(now time.Time) {
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	c.instance.leavingUntil = now.Add(leavingLifetime)
}

// Done ends the request. Only the first call counts. It reports whether the
// instance was ejected because of it.
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
		ejected = c.balancer.fail(c.service, c.instance, now)
	case Refused:
		c.instance.count(refusedLoad, now)
	case Leaving:
		c.instance.leavingUntil = now.Add(leavingLifetime)
	case Cancelled:
	}
	return ejected
}

// fail counts a failure and ejects the instance after several in a row. When that
// would leave less than half of the service, it counts as loaded instead. An instance back from an ejection is
// ejected again by its first failure.
func (b *Balancer) fail(known *service, failed *instance, now time.Time) (ejected bool) {
	failed.failures++
	if failed.failures < failuresToEject || failed.ejectedAt(now) || b.mode == Random {
		return false
	}
	if !known.mayEject(now) {
		failed.count(refusedLoad, now)
		return false
	}
	failed.ejectedUntil = now.Add(ejectionTime(failed.ejections))
	failed.ejections++
	return true
}

// mayEject reports whether one more ejection leaves at least half of the
// service.
func (s *service) mayEject(now time.Time) bool {
	ejected := 0
	for _, candidate := range s.candidates {
		if candidate.ejectedAt(now) {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(s.candidates)
}

// ejectionTime doubles with each ejection up to a bound.
func ejectionTime(earlier int) time.Duration {
	lasting := firstEjection
	for range earlier {
		lasting *= 2
		if lasting >= longestEjection {
			return longestEjection
		}
	}
	return lasting
}
