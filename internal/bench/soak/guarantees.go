package soak

import (
	"fmt"

	"github.com/winchhead/winchhead/internal/bench/load"
)

// checkGuarantees fills in the report and lists each violated guarantee.
func (r *run) checkGuarantees(record *load.Record) {
	r.report.Calls = record.Summary()
	audit := load.Check(record.Results(), r.mesh.Journal())
	r.report.Doubled = len(audit.Doubled)
	r.report.Lost = len(audit.Lost)
	r.report.RanRefused = len(audit.RanThoughRefused)
	r.report.Wrong = len(audit.Wrong)
	r.addViolations("a request that may not be repeated runs at most once", audit.Doubled)
	r.addViolations("no answered request is lost", audit.Lost)
	r.addViolations("a request that is refused as not run did not run", audit.RanThoughRefused)
	r.addViolations("a caller gets the complete response to its own request", audit.Wrong)
	r.addViolations("no proxy goes back to an older version", r.monitor.regressions())
	if r.report.Calls.Answered == 0 {
		r.addViolation("no request was answered at all")
	}
	r.checkBackends()
}

// checkBackends checks the violations that the backends counted.
func (r *run) checkBackends() {
	for _, instance := range r.mesh.Backends() {
		statistics := instance.Statistics()
		if statistics.SlotViolations > 0 {
			r.addViolation("slots are never exceeded: %s counted %d", instance.Node, statistics.SlotViolations)
		}
		if statistics.ConnectionViolations > 0 {
			r.addViolation("connections are never exceeded: %s counted %d", instance.Node, statistics.ConnectionViolations)
		}
		if statistics.TakenWhileDraining > 0 {
			r.addViolation("a draining back end gets no new requests: %s counted %d", instance.Node, statistics.TakenWhileDraining)
		}
	}
}

func (r *run) addViolations(guarantee string, names []string) {
	const shown = 3
	if len(names) > 0 {
		r.addViolation("%s: %d times, such as %v", guarantee, len(names), names[:min(shown, len(names))])
	}
}

func (r *run) addViolation(format string, values ...any) {
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, values...))
}
