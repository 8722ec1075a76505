package storesoak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// rollbackTolerance is how long after a process first used a version it may still handle
// requests with an older one.
const rollbackTolerance = 250 * time.Millisecond

// nodeProcess identifies one process of a node.
type nodeProcess struct {
	machine     int
	incarnation int64
}

// observation is the state of a route that a probe observed at a process.
type observation struct {
	call  *call
	state routeState
}

// observationOf returns what a call shows about its route; false if nothing.
func observationOf(c *call, runs []run) (observation, bool) {
	switch {
	case c.kind != kindProbe:
		return observation{}, false
	case len(runs) > 0:
		return observation{c, routeState(runs[0].machine.service)}, true
	case c.status == http.StatusNotFound:
		return observation{c, absent}, true
	default:
		return observation{}, false
	}
}

// checkChanges checks the probes against the versions that operators wrote. A process must not
// return to a version older than one it showed before, nor use one older than the version that
// must be in force. Calls are in the order in which they were sent.
func (s *soak) checkChanges(calls []*call, runs map[string][]run) {
	observations := make(map[nodeProcess][]observation)
	for _, c := range calls {
		if seen, shows := observationOf(c, runs[c.id]); shows {
			process := nodeProcess{c.machine, c.incarnation}
			observations[process] = append(observations[process], seen)
		}
	}
	for _, seen := range observations {
		s.checkProcess(seen)
	}
	s.measureChanges(calls)
}

// checkProcess checks the observations of one process.
func (s *soak) checkProcess(observations []observation) {
	floor := 0 // the oldest version that the process can hold, judging by earlier observations
	var pending []observation
	for _, seen := range observations {
		pending = slices.DeleteFunc(pending, func(former observation) bool {
			if seen.call.sent.Sub(former.call.ended) <= rollbackTolerance {
				return false
			}
			floor = max(floor, s.oldestMatching(former, floor))
			return true
		})
		s.checkObservation(seen, floor)
		pending = append(pending, seen)
	}
}

// checkObservation checks one observation of a process that holds no version older than floor.
func (s *soak) checkObservation(seen observation, floor int) {
	required, late := s.requiredVersion(seen)
	switch {
	case s.matchesAnyFrom(seen, max(floor, required)):
	case s.matchesAnyFrom(seen, floor):
		s.report.LateChanges++
		written := s.fleet.catalog.versions[required-1]
		s.violation("%s: machine %d handles route %d as %q, but version %d (%s) was acknowledged %s earlier\n%s", seen.call.id, seen.call.machine,
			seen.call.route, seen.state, required, written.kind, late.Round(time.Millisecond), s.describeChange(written, seen.call))
	case floor > 0 && s.matchesAnyFrom(seen, 1):
		s.report.RolledBack++
		s.violation("%s: machine %d handles route %d as %q, but used version %d before", seen.call.id, seen.call.machine, seen.call.route, seen.state, floor)
	default:
		s.report.Invalid++
		s.violation("%s: machine %d handles route %d as %q, which no version allows", seen.call.id, seen.call.machine, seen.call.route, seen.state)
	}
}

// oldestMatching returns the oldest version from floor on that matches an observation, or
// floor if none does.
func (s *soak) oldestMatching(seen observation, floor int) int {
	for number := max(floor, 1); number <= s.newestWritten(seen); number++ {
		if s.matches(seen, number) {
			return number
		}
	}
	return floor
}

// matchesAnyFrom reports whether an observation matches any version from the given one on.
func (s *soak) matchesAnyFrom(seen observation, from int) bool {
	for number := max(from, 1); number <= s.newestWritten(seen); number++ {
		if s.matches(seen, number) {
			return true
		}
	}
	return false
}

func (s *soak) matches(seen observation, number int) bool {
	written := s.fleet.catalog.versions[number-1]
	return !written.invalid && s.fleet.catalog.stateAt(seen.call.route, number) == seen.state
}

// newestWritten returns the newest version whose write was sent before the call ended.
func (s *soak) newestWritten(seen observation) int {
	versions := s.fleet.catalog.versions
	for number := len(versions); number > 0; number-- {
		if !versions[number-1].sent.After(seen.call.ended) {
			return number
		}
	}
	return 0
}

// requiredVersion returns the newest version that must have been in force when a call was
// sent, and how long before that it was acknowledged; zero if no version must.
func (s *soak) requiredVersion(seen observation) (number int, before time.Duration) {
	limit, holds := s.history.applyBound(seen.call.machine, seen.call.sent, seen.call.ended)
	if !holds {
		return 0, 0
	}
	versions := s.fleet.catalog.versions
	for number = len(versions); number > 0; number-- {
		written := versions[number-1]
		before = seen.call.sent.Sub(written.acknowledged)
		if !written.invalid && !written.acknowledged.IsZero() && before > limit {
			return number, before
		}
	}
	return 0, 0
}

// measureChanges measures the time from the acknowledgement of each version until it was in
// force, at each machine that was not impaired meanwhile.
func (s *soak) measureChanges(calls []*call) {
	var all []float64
	for _, written := range s.fleet.catalog.versions[min(1, len(s.fleet.catalog.versions)):] {
		if written.invalid || written.acknowledged.IsZero() || len(calls) == 0 {
			continue
		}
		seconds := s.secondsUntilInForce(written)
		all = append(all, seconds...)
		s.report.Versions = append(s.report.Versions, VersionTimes{
			At: written.sent.Sub(calls[0].sent).Seconds(), Kind: written.kind, Slowest: slices.Max(append(seconds, 0)),
		})
	}
	s.report.InForce = quantilesOf(all)
}

// quantilesOf returns the quantiles of times in seconds, all zero if there are none.
func quantilesOf(all []float64) Quantiles {
	if len(all) == 0 {
		return Quantiles{}
	}
	slices.Sort(all)
	at := func(quantile float64) float64 { return all[int(quantile*float64(len(all)-1))] }
	return Quantiles{P50: at(0.5), P99: at(0.99), Max: all[len(all)-1]}
}

// secondsUntilInForce returns the time that a version took to be in force at each machine that
// was not impaired meanwhile.
func (s *soak) secondsUntilInForce(written version) (seconds []float64) {
	for _, m := range s.fleet.machines {
		at, held := s.fleet.logs.inForce(m.number, written.revision, written.sent)
		if held && !s.history.isImpaired(m.number, written.sent, at) {
			seconds = append(seconds, max(at.Sub(written.acknowledged).Seconds(), 0))
		}
	}
	return seconds
}

// maxDescriptionLines bounds the output of describeChange.
const maxDescriptionLines = 60

// describeChange describes a change until a call ended: when it came into force, the faults,
// and what the readers and the machine of the call logged.
func (s *soak) describeChange(written version, c *call) string {
	lines := []string{fmt.Sprintf("  acknowledged at %s as revision %s", written.acknowledged.Format(time.TimeOnly+".000"), written.revision)}
	held := make(map[int]time.Time)
	for _, m := range s.fleet.machines {
		if at, found := s.fleet.logs.inForce(m.number, written.revision, written.sent); found {
			held[m.number] = at
		}
	}
	lines = append(lines, fmt.Sprintf("  eventually in force at %d of %d machines%s", len(held), len(s.fleet.machines), firstAndLast(held, written)))
	for _, each := range s.history.during(written.sent.Add(-settleTime), c.ended) {
		lines = append(lines, fmt.Sprintf("  fault: %s at %v from %s", each.fault.name, each.fault.machines, each.from.Format(time.TimeOnly+".000")))
	}
	for _, number := range append([]int{c.machine}, s.fleet.logs.readers()...) {
		for _, text := range s.fleet.logs.between(number, written.sent.Add(-settleTime), c.ended) {
			lines = append(lines, fmt.Sprintf("  machine %d: %s", number, text))
		}
	}
	if len(lines) > maxDescriptionLines {
		lines = append(lines[:maxDescriptionLines], "  (further lines omitted)")
	}
	return strings.Join(lines, "\n")
}

// firstAndLast describes how long after its acknowledgement a change came into force first and
// last.
func firstAndLast(held map[int]time.Time, written version) string {
	if len(held) == 0 {
		return ""
	}
	var delays []time.Duration
	for _, at := range held {
		delays = append(delays, at.Sub(written.acknowledged))
	}
	slices.SortFunc(delays, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return fmt.Sprintf(", first after %s, last after %s", delays[0].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
}
