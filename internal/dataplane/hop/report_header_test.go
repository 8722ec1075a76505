package hop_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// TestMomentaryPercentTravelsApart checks that the slowdown of the moment has a field of its own, so that sidecars
// of earlier versions can read the report, that a malformed one is ignored, and that no field is left to callers.
func TestMomentaryPercentTravelsApart(t *testing.T) {
	plain := hop.Report{Outcome: hop.Answered, Slots: 9, SlowdownPercent: 120}
	for name, row := range map[string]struct {
		sent []string
		want int
	}{
		"none":     {nil, 0},
		"slow":     {[]string{"250"}, 250},
		"zero":     {[]string{"0"}, 0},
		"negative": {[]string{"-250"}, 0},
		"absurd":   {[]string{"10001"}, 0},
		"word":     {[]string{"slow"}, 0},
		"twice":    {[]string{"250", "250"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			header := http.Header{"Other": {"1"}, hop.Header: {plain.Encode()}}
			if row.sent != nil {
				header[hop.HeaderMomentary] = row.sent
			}
			read, err := hop.ReportFrom(header)
			c.Assert(err, qt.IsNil)
			want := plain
			want.MomentaryPercent = row.want
			c.Check(read, qt.Equals, want)
			hop.StripReport(header)
			c.Check(header, qt.DeepEquals, http.Header{"Other": {"1"}})

			header[hop.HeaderMomentary] = []string{"777"} // by the instance
			want.AddTo(header)
			c.Check(header.Get(hop.Header), qt.Equals, plain.Encode())
			again, err := hop.ReportFrom(header)
			c.Assert(err, qt.IsNil)
			c.Check(again, qt.Equals, want)
		})
	}
}
