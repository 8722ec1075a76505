package storesoak

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestCheckKey checks that runs without a valid key, and refusals of valid keys, are reported, and that
// nothing is while a change of the keys may still be on its way.
func TestCheckKey(t *testing.T) {
	// Version 1 has the first key, version 2 the second one in its place.
	first, second := &apiKey{tenant: "t", value: "first", since: 1, until: 2}, &apiKey{tenant: "t", value: "second", since: 2}
	ranFor := func(tenant ...string) []run {
		return []run{{Run: instance.Run{Header: http.Header{instance.HeaderTenant: tenant}}, name: "i-1"}}
	}
	rows := map[string]struct {
		key    *apiKey
		sent   float64
		status int
		runs   []run
		want   Report
	}{
		"valid":                       {second, 20, 200, ranFor("t"), Report{}},
		"no key":                      {nil, 20, 401, nil, Report{}},
		"ran without a key":           {nil, 20, 200, ranFor(), Report{Unauthenticated: 1}},
		"for another tenant":          {second, 20, 200, ranFor("forged"), Report{Unauthenticated: 1}},
		"in two names":                {second, 20, 200, ranFor("t", "forged"), Report{Unauthenticated: 1}},
		"revoked":                     {first, 20, 401, nil, Report{}},
		"ran with a revoked key":      {first, 20, 200, ranFor("t"), Report{LateRevocations: 1}},
		"ran with a key just revoked": {first, 11, 200, ranFor("t"), Report{}},
		"valid, refused":              {second, 20, 401, nil, Report{WronglyUnauthenticated: 1}},
		"just added, refused":         {second, 11, 401, nil, Report{}},
		"refused, then revoked":       {first, 9.95, 401, nil, Report{}},
		"refused before revocation":   {first, 8, 401, nil, Report{WronglyUnauthenticated: 1}},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestSoak()
			s.fleet.catalog.versions = []version{
				{number: 1, sent: at(0), acknowledged: at(0.1)}, {number: 2, sent: at(10), acknowledged: at(10.1)},
			}
			s.checkKey(&call{id: "c", sent: at(row.sent), ended: at(row.sent + 0.1), status: row.status}, row.key, row.runs)
			c.Check(len(s.report.Violations) > 0, qt.Equals, row.want.Unauthenticated+row.want.LateRevocations+row.want.WronglyUnauthenticated > 0)
			s.report.Violations = nil
			c.Check(s.report, qt.DeepEquals, row.want)
		})
	}
}

// TestMostInWindow checks that a window is half open and may begin at any time.
func TestMostInWindow(t *testing.T) {
	times := []time.Time{at(9), at(0), at(4.9), at(5), at(5.1)}
	qt.Check(t, mostInWindow(times), qt.Equals, 4)
	qt.Check(t, mostInWindow(nil), qt.Equals, 0)
}
