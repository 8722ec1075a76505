package storesoak

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// arriveEvery adds calls of machine 0 that reach an instance at a steady rate between two times.
func arriveEvery(s *soak, calls []*call, from, to, interval float64) []*call {
	for second := from; second < to; second += interval {
		sent := &call{id: fmt.Sprint("c-", len(calls)), sent: at(second), ended: at(second + 0.01)}
		calls = append(calls, sent)
		s.fleet.nested.arrivals[sent.id] = []arrival{{service: serviceRead, instance: "i-1", at: at(second)}}
	}
	return calls
}

// TestCheckLimit checks which arrivals count against a stated limit, and which excuses hold.
func TestCheckLimit(t *testing.T) {
	// The instance states a limit of 2 a second at 10 s; the machine passes that on at 10.1 s. 17 requests
	// are then allowed in 4 s.
	limited := statedAnswer{instance: "i-1", limited: true, at: at(10.1)}
	rows := map[string]struct {
		from, to, interval float64
		change             func(s *soak, heard *call)
		broken             bool
	}{
		"below the bound":             {from: 11, to: 30, interval: 0.3},
		"above the bound":             {from: 11, to: 30, interval: 0.2, broken: true},
		"before the limit binds":      {from: 10.2, to: 12.9, interval: 0.1},
		"within the time for hearing": {from: 10.1, to: 10.6, interval: 0.01},
		"of a machine that has not passed it on": {from: 11, to: 30, interval: 0.1, change: func(_ *soak, heard *call) {
			heard.machine = 1
		}},
		"of a machine that was cut off since": {from: 15, to: 19, interval: 0.1, change: func(s *soak, _ *call) {
			s.history.spans = []*faultSpan{{fault: fault{impaired: []int{0}}, from: at(13), to: at(14)}}
		}},
		"the limit has ended": {from: 15, to: 30, interval: 0.1, change: func(s *soak, _ *call) {
			s.fleet.statements.periods[0].until = at(14.5)
		}},
		"the limit was raised": {from: 20, to: 30, interval: 0.1, change: func(s *soak, _ *call) {
			period := s.fleet.statements.periods[0]
			period.limits = append(period.limits, limitAt{at(15), 10})
		}},
		"the limit was lowered": {from: 15, to: 30, interval: 0.3, broken: true, change: func(s *soak, _ *call) {
			period := s.fleet.statements.periods[0]
			period.limits = append(period.limits, limitAt{at(14), 0.2})
		}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestSoak()
			s.fleet.statements.periods = []*statedPeriod{{instance: "i-1", limits: []limitAt{{at(10), 2}}}}
			heard := &call{id: "heard", sent: at(10), ended: at(10.1), stated: limited}
			calls := arriveEvery(s, []*call{heard}, row.from, row.to, row.interval)
			if row.change != nil {
				row.change(s, heard)
			}
			s.checkStatements(calls)
			qt.Check(t, len(s.report.Violations) > 0, qt.Equals, row.broken, qt.Commentf("%.2f of the bound", s.report.LimitBoundShare))
		})
	}
}

// TestCheckLeaving checks which requests to an instance that has stated that it leaves are late, and that
// only a stop, kill or pause of the machine excuses them.
func TestCheckLeaving(t *testing.T) {
	rows := map[string]struct {
		sent   float64
		fault  *fault
		until  float64
		broken bool
	}{
		"before it was passed on": {sent: 10.05},
		"in time":                 {sent: 12},
		"late":                    {sent: 12.2, broken: true},
		"machine restarted since": {sent: 12.2, fault: &fault{impaired: []int{0}, ofProcess: true}},
		"machine cut off since":   {sent: 12.2, fault: &fault{impaired: []int{0}}, broken: true},
		"another one restarted":   {sent: 12.2, fault: &fault{impaired: []int{1}, ofProcess: true}, broken: true},
		"the process has ended":   {sent: 12.2, until: 12.1},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			s := newTestSoak()
			leaving := &statedLeaving{instance: "i-1", at: at(10)}
			if row.until > 0 {
				leaving.until = at(row.until)
			}
			if row.fault != nil {
				s.history.spans = []*faultSpan{{fault: *row.fault, from: at(11), to: at(11.5)}}
			}
			s.fleet.statements.leavings = []*statedLeaving{leaving}
			heard := &call{id: "heard", sent: at(10), ended: at(10.1), stated: statedAnswer{instance: "i-1", leaving: true, at: at(10.1)}}
			s.checkStatements(arriveEvery(s, []*call{heard}, row.sent, row.sent+0.05, time.Minute.Seconds()))
			qt.Check(t, len(s.report.Violations) > 0, qt.Equals, row.broken)
		})
	}
}
