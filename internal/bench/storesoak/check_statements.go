package storesoak

import (
	"slices"
	"time"
)

// The bounds on requests to instances that state limits, or that they leave. Both are judged by the machine
// where a request began.
const (
	// limitWindow is the span in which requests are counted, limitGrace the time from the first answer
	// with a limit until it binds, and hearingTime how long before an arrival its machine must have
	// passed such an answer on for the arrival to count.
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	hearingTime = 500 * time.Millisecond
	// limitFactor and limitSlack make the bound of a limit.
	limitFactor, limitSlack = 1.5, 5
	// leavingTimeout is how long after a machine has passed a leaving on a request may begin there that
	// reaches the instance.
	leavingTimeout = 2 * time.Second
)

// statementArrival is a request that reached an instance.
type statementArrival struct {
	id       string
	at, sent time.Time
	// machine is where the request began.
	machine int
}

// passedOn are the times at which machines had passed on answers that stated something, by instance and
// machine, in order.
type passedOn map[string]map[int][]time.Time

func (p passedOn) add(instance string, machine int, at time.Time) {
	if p[instance] == nil {
		p[instance] = make(map[int][]time.Time)
	}
	p[instance][machine] = append(p[instance][machine], at)
}

// last returns the last time before a given one at which a machine had passed an answer on.
func (p passedOn) last(instance string, machine int, before time.Time) (last time.Time, found bool) {
	for _, at := range p[instance][machine] {
		if !at.After(before) && (!found || at.After(last)) {
			last, found = at, true
		}
	}
	return last, found
}

// first returns the first such time since a given one.
func (p passedOn) first(instance string, machine int, since time.Time) (first time.Time, found bool) {
	for _, at := range p[instance][machine] {
		if at.After(since) && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// checkStatements reports instances that got more requests than their stated limits allow, or requests
// after they had stated that they leave.
func (s *soak) checkStatements(calls []*call) {
	arrivals := s.arrivalsByInstance(calls)
	limits, leavings := s.passedOnStatements(calls)
	for _, period := range s.fleet.statements.periods {
		s.checkLimit(period, arrivals[period.instance], limits)
	}
	for _, leaving := range s.fleet.statements.leavings {
		s.checkLeaving(leaving, arrivals[leaving.instance], leavings)
	}
}

// arrivalsByInstance returns the requests that reached each instance, in order.
func (s *soak) arrivalsByInstance(calls []*call) map[string][]statementArrival {
	byID := make(map[string]*call, len(calls))
	for _, each := range calls {
		byID[each.id] = each
	}
	nested := s.fleet.nested
	nested.mutex.Lock()
	defer nested.mutex.Unlock()
	found := make(map[string][]statementArrival)
	for id, arrivals := range nested.arrivals {
		for _, each := range arrivals {
			arrived := statementArrival{id: id, at: each.at}
			if made, isNested := nested.calls[id]; isNested {
				arrived.machine, arrived.sent = made.machine, made.sent
			} else if sent := byID[id]; sent != nil {
				arrived.machine, arrived.sent = sent.machine, sent.sent
			} else {
				continue // check reports it as one that nobody sent
			}
			found[each.instance] = append(found[each.instance], arrived)
		}
	}
	for _, arrivals := range found {
		slices.SortFunc(arrivals, func(a, b statementArrival) int { return a.at.Compare(b.at) })
	}
	return found
}

// passedOnStatements returns when machines passed on answers that stated limits, and leavings.
func (s *soak) passedOnStatements(calls []*call) (limits, leavings passedOn) {
	limits, leavings = make(passedOn), make(passedOn)
	add := func(answer statedAnswer, machine int) {
		if answer.limited {
			limits.add(answer.instance, machine, answer.at)
		}
		if answer.leaving {
			leavings.add(answer.instance, machine, answer.at)
		}
	}
	for _, each := range calls {
		add(each.stated, each.machine)
	}
	s.fleet.nested.mutex.Lock()
	defer s.fleet.nested.mutex.Unlock()
	for _, each := range s.fleet.nested.calls {
		add(each.stated, each.machine)
	}
	return limits, leavings
}

// checkLimit checks the requests to an instance while it stated limits.
func (s *soak) checkLimit(period *statedPeriod, arrivals []statementArrival, limits passedOn) {
	s.report.StatedLimits++
	began, worst := period.limits[0].at, 0.0
	var counted []time.Time
	for _, each := range arrivals {
		if each.at.Before(began) || !period.until.IsZero() && each.at.After(period.until) {
			continue
		}
		heard, known := limits.last(period.instance, each.machine, each.at.Add(-hearingTime))
		if !known || heard.Before(began) || s.history.wasDisturbed(each.machine, heard, each.at, anyDisturbance) {
			continue
		}
		counted = append(counted, each.at)
		for each.at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		if each.at.Sub(began) < limitGrace {
			continue
		}
		allowed := period.allowedBetween(each.at.Add(-limitWindow), each.at)
		if share := float64(len(counted)) / allowed; share > worst {
			worst = share
			if share > 1 {
				s.violation("%s got %d requests within %s, %.1f are allowed; it stated %v", period.instance, len(counted), limitWindow, allowed, period.limits)
			}
		}
	}
	s.report.LimitBoundShare = max(s.report.LimitBoundShare, worst)
}

// allowedBetween returns the most requests that the limits allow between two times. The first limit counts
// for the time before it too.
func (p *statedPeriod) allowedBetween(from, to time.Time) float64 {
	total := 0.0
	for i, each := range p.limits {
		begins, ends := each.at, to
		if i == 0 || begins.Before(from) {
			begins = from
		}
		if i+1 < len(p.limits) && p.limits[i+1].at.Before(to) {
			ends = p.limits[i+1].at
		}
		if ends.After(begins) {
			total += each.perSecond * ends.Sub(begins).Seconds()
		}
	}
	return limitFactor*total + limitSlack
}

// checkLeaving checks the requests to an instance after it had stated that it leaves.
func (s *soak) checkLeaving(leaving *statedLeaving, arrivals []statementArrival, leavings passedOn) {
	s.report.StatedLeavings++
	for _, each := range arrivals {
		if !leaving.until.IsZero() && each.at.After(leaving.until) {
			continue
		}
		heard, known := leavings.first(leaving.instance, each.machine, leaving.at)
		if !known || !each.sent.After(heard) || s.history.wasDisturbed(each.machine, heard, each.at, processDisturbance) {
			continue
		}
		delay := each.sent.Sub(heard)
		s.report.LastAfterLeaving = max(s.report.LastAfterLeaving, delay.Seconds())
		if delay > leavingTimeout {
			s.report.LateArrivals++
			s.violation("%s began at machine %d %s after that had passed on that %s leaves, and reached it", each.id, each.machine, delay.Round(time.Millisecond), leaving.instance)
		}
	}
}

// disturbance selects faults of a machine.
type disturbance func(fault) bool

// anyDisturbance selects all faults of its process and its links, processDisturbance those of its process.
func anyDisturbance(fault) bool          { return true }
func processDisturbance(each fault) bool { return each.ofProcess }

// wasDisturbed reports whether a selected fault of a machine was active between from and to.
func (h *history) wasDisturbed(machine int, from, to time.Time, selected disturbance) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.spans, func(each *faultSpan) bool {
		return selected(each.fault) && slices.Contains(each.fault.impaired, machine) &&
			each.from.Before(to) && (each.to.IsZero() || each.to.After(from))
	})
}
