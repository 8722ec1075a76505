package storesoak

import (
	"sync"
	"time"
)

// withdrawal is the removal of an instance, or of all instances of a zone, from service: once
// the store has acknowledged it, they must get no new requests.
type withdrawal struct {
	// reason completes "after it ..." in reports.
	reason string
	// instance is the name of the withdrawn instance; empty: all instances of the zone.
	instance, zone string
	at             time.Time
	// until is when it was revoked; zero: never.
	until time.Time
}

// covers reports whether a run began at a withdrawn instance while the withdrawal applied.
func (w *withdrawal) covers(each run) bool {
	if !each.Began.After(w.at) || !w.until.IsZero() && each.Began.After(w.until) {
		return false
	}
	if w.instance != "" {
		return each.name == w.instance
	}
	return each.machine.zone == w.zone
}

// withdrawals holds all withdrawals of a soak. It is safe for concurrent use.
type withdrawals struct {
	mutex sync.Mutex
	all   []*withdrawal
}

// add records a withdrawal that the store has just acknowledged.
func (w *withdrawals) add(reason, instance, zone string) *withdrawal {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	added := &withdrawal{reason: reason, instance: instance, zone: zone, at: time.Now()}
	w.all = append(w.all, added)
	return added
}

// revoke ends a withdrawal now.
func (w *withdrawals) revoke(revoked *withdrawal) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	revoked.until = time.Now()
}

// endFor ends the withdrawals of an instance that restarts under its name: they applied to
// its former process.
func (w *withdrawals) endFor(instance string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range w.all {
		if each.instance == instance && each.until.IsZero() {
			each.until = time.Now()
		}
	}
}

// checkWithdrawals reports requests that reached instances too long after these announced that
// they drain, after their entries were deleted, or after the evacuation of their zones began.
// It also measures how long after each withdrawal requests still arrived.
func (s *soak) checkWithdrawals(calls []*call, runs map[string][]run) {
	senders := make(map[string]int, len(calls))
	for _, each := range calls {
		senders[each.id] = each.machine
	}
	var lastArrivals []float64
	for _, withdrawn := range s.fleet.withdrawals.all {
		last := time.Duration(0)
		for id, found := range runs {
			for _, each := range found {
				delay, bounded := s.checkArrival(withdrawn, id, senders, each)
				if bounded {
					last = max(last, delay)
				}
			}
		}
		lastArrivals = append(lastArrivals, last.Seconds())
	}
	s.report.Withdrawals = len(lastArrivals)
	s.report.LastArrival = quantilesOf(lastArrivals)
}

// checkArrival checks one run against a withdrawal. It returns how long after it the request
// arrived, and whether a time bound applied.
func (s *soak) checkArrival(withdrawn *withdrawal, id string, senders map[string]int, each run) (delay time.Duration, bounded bool) {
	if !withdrawn.covers(each) {
		return 0, false
	}
	sender, known := senders[id]
	if machine, made := s.fleet.nested.senderOf(id); made {
		sender, known = machine, true
	}
	if !known {
		return 0, false // check reports it as one that nobody sent
	}
	delay = each.Began.Sub(withdrawn.at)
	from := withdrawn.at.Add(-settleTime)
	inForce := withdrawn.at.Add(applyTimeout)
	atSender, holds := s.history.applyBoundAfter(sender, from, each.Began, inForce)
	atInstance, holdsToo := s.history.applyBoundAfter(each.machine.number, from, each.Began, inForce)
	if !holds || !holdsToo {
		return delay, false
	}
	if allowed := max(atSender, atInstance); delay > allowed {
		s.report.LateArrivals++
		s.violation("%s reached %s %s after it %s; at most %s is allowed", id, each.name, delay.Round(time.Millisecond), withdrawn.reason, allowed)
	}
	return delay, true
}
