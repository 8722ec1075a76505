package storesoak

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// newTestCatalog returns a catalog of five versions: the first without routes, then one that
// adds route 1, one that changes its service, one that removes it, and an invalid one. They are
// acknowledged at seconds 1, 10, 20, 30 and 35.
func newTestCatalog() *catalog {
	c := newCatalog()
	c.states = [][]routeChange{{{2, serviceRead}, {3, serviceWrite}, {4, absent}}}
	for i, seconds := range []float64{1, 10, 20, 30, 35} {
		c.versions = append(c.versions, version{number: i + 1, sent: at(seconds - 0.1), acknowledged: at(seconds), invalid: i == 4})
	}
	return c
}

// TestCheckChanges checks that a process that returns to an older version is reported, and a
// change that comes into force too late, also during a fault elsewhere; what the bounds allow
// is not reported.
func TestCheckChanges(t *testing.T) {
	read, write := &machine{service: serviceRead}, &machine{service: serviceWrite}
	ran := func(m *machine) []run { return []run{{Run: instance.Run{}, machine: m}} }
	type probe struct {
		ranAt       *machine // nil: 404
		incarnation int64
		from, to    float64
	}
	killed := func(machine int) fault { return fault{impaired: []int{machine}} }
	rows := map[string]struct {
		probes []probe
		spans  []*faultSpan
		want   Report
	}{
		"old version before the new one must be in force": {probes: []probe{{read, 1, 21, 21}}},
		"in force early":                     {probes: []probe{{write, 1, 20, 20}}},
		"in force while it is being written": {probes: []probe{{write, 1, 19.8, 19.95}}},
		"late":                               {probes: []probe{{read, 1, 23, 23}}, want: Report{LateChanges: 1}},
		"a removed route is still served too late":              {probes: []probe{{write, 1, 33, 33}}, want: Report{LateChanges: 1}},
		"an added route is not served":                          {probes: []probe{{nil, 1, 13, 13}}, want: Report{LateChanges: 1}},
		"late while another machine is killed":                  {probes: []probe{{read, 1, 23, 23}}, spans: []*faultSpan{{fault: killed(1), from: at(20), to: at(22)}}, want: Report{LateChanges: 1}},
		"late at a machine that was killed":                     {probes: []probe{{read, 1, 23, 23}}, spans: []*faultSpan{{fault: killed(0), from: at(20), to: at(22)}}},
		"late at a machine that was killed long before":         {probes: []probe{{read, 1, 26, 26}}, spans: []*faultSpan{{fault: killed(0), from: at(20), to: at(22)}}, want: Report{LateChanges: 1}},
		"while the store refuses some machines":                 {probes: []probe{{read, 1, 26, 26}}, spans: []*faultSpan{{fault: fault{storeState: storeRefusing}, from: at(19)}}},
		"too late even while the store refuses some machines":   {probes: []probe{{read, 1, 28, 28}}, spans: []*faultSpan{{fault: fault{storeState: storeRefusing}, from: at(19)}}, want: Report{LateChanges: 1}},
		"while the store is down":                               {probes: []probe{{read, 1, 28, 28}}, spans: []*faultSpan{{fault: fault{storeState: storeUnavailable}, from: at(19)}}},
		"returns to an older version":                           {probes: []probe{{write, 1, 20, 20}, {read, 1, 20.5, 20.5}}, want: Report{RolledBack: 1}},
		"older version within the tolerance":                    {probes: []probe{{write, 1, 20, 20}, {read, 1, 20.2, 20.2}}},
		"another process of the machine holds an older version": {probes: []probe{{write, 1, 20, 20}, {read, 2, 20.5, 20.5}}},
		"older version in an overlapping request":               {probes: []probe{{write, 1, 20, 21}, {read, 1, 20.5, 20.5}}},
		"version that is not written yet":                       {probes: []probe{{write, 1, 12, 12}}, want: Report{Invalid: 1}},
		"an invalid version changes nothing":                    {probes: []probe{{nil, 1, 40, 40}}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestSoak()
			s.fleet.catalog, s.fleet.logs, s.history.spans = newTestCatalog(), newNodeLogs(nil), row.spans
			var calls []*call
			runs := make(map[string][]run)
			for i, each := range row.probes {
				made := &call{id: string(rune('a' + i)), kind: kindProbe, route: 1, incarnation: each.incarnation, sent: at(each.from), ended: at(each.to)}
				if each.ranAt != nil {
					runs[made.id] = ran(each.ranAt)
				} else {
					made.status = http.StatusNotFound
				}
				calls = append(calls, made)
			}
			s.checkChanges(calls, runs)
			c.Check(len(s.report.Violations), qt.Equals, s.report.RolledBack+s.report.LateChanges+s.report.Invalid)
			s.report.Violations, s.report.Versions = nil, nil
			c.Check(s.report, qt.DeepEquals, row.want)
		})
	}
}
