package soak

import (
	"fmt"

	"github.com/winchhead/winchhead/internal/bench/load"
)

// judge fills the report in and names each broken promise.
func (r *run) judge(record *load.Record) {
	r.report.Calls = record.Summary()
	audit := load.Check(record.Results(), r.mesh.Journal())
	r.report.Doubled = len(audit.Doubled)
	r.report.Lost = len(audit.Lost)
	r.report.RanRefused = len(audit.RanThoughRefused)
	r.report.Wrong = len(audit.Wrong)
	r.brokenBy("a request that may not be repeated runs at most once", audit.Doubled)
	r.brokenBy("no answered request is lost", audit.Lost)
	r.brokenBy("what is refused as not run did not run", audit.RanThoughRefused)
	r.brokenBy("a caller gets the whole answer to its own request", audit.Wrong)
	r.brokenBy("no proxy goes back to an older version", r.monitor.regressions())
	if r.report.Calls.Answered == 0 {
		r.broken("no request was answered at all")
	}
	r.judgeBackends()
}

// judgeBackends checks what the back ends counted.
func (r *run) judgeBackends() {
	for _, instance := range r.mesh.Backends() {
		statistics := instance.Statistics()
		if statistics.SlotViolations > 0 {
			r.broken("slots are never exceeded: %s counted %d", instance.Node, statistics.SlotViolations)
		}
		if statistics.ConnectionViolations > 0 {
			r.broken("connections are never exceeded: %s counted %d", instance.Node, statistics.ConnectionViolations)
		}
		if statistics.TakenWhileDraining > 0 {
			r.broken("a leaving back end gets no new work: %s counted %d", instance.Node, statistics.TakenWhileDraining)
		}
	}
}

func (r *run) brokenBy(promise string, names []string) {
	const shown = 3
	if len(names) > 0 {
		r.broken("%s: %d times, such as %v", promise, len(names), names[:min(shown, len(names))])
	}
}

func (r *run) broken(format string, values ...any) {
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, values...))
}
