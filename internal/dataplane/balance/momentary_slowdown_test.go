package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
)

// TestMomentarySlowdown checks that an instance that is slow for a moment is expected to take longer, and that a
// sender which avoids it and hears nothing of its recovery expects its usual time again soon.
func TestMomentarySlowdown(t *testing.T) {
	const usual = 100 * time.Millisecond
	for name, row := range map[string]struct {
		percent  int
		disabled bool
		age      time.Duration
		min, max time.Duration
	}{
		"now":           {250, false, 0, 249 * time.Millisecond, 251 * time.Millisecond},
		"a moment ago":  {250, false, 150 * time.Millisecond, 170 * time.Millisecond, 180 * time.Millisecond},
		"a second ago":  {250, false, time.Second, 100 * time.Millisecond, 103 * time.Millisecond},
		"fast":          {50, false, 0, 49 * time.Millisecond, 51 * time.Millisecond},
		"not stated":    {0, false, 0, 99 * time.Millisecond, 101 * time.Millisecond},
		"speeds unused": {250, true, 0, 99 * time.Millisecond, 101 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			enabled := mechanism.All()
			enabled.Speeds = !row.disabled
			b := balance.New(balance.Options{Zone: "near", Mechanisms: enabled})
			now, only := time.Now(), instance("i", "near")
			for range 50 {
				choice, _ := pick(b, now, "", only)
				choice.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Execution: usual, SlowdownPercent: 100, MomentaryPercent: 100}, 0, now)
			}
			execution := usual // the work takes as long as the report says
			if row.percent > 0 {
				execution = usual * time.Duration(row.percent) / 100
			}
			choice, _ := pick(b, now, "", only)
			choice.Done(balance.Served, &hop.Report{Outcome: hop.Answered, Slots: 4, Execution: execution, SlowdownPercent: 100, MomentaryPercent: row.percent}, 0, now)
			choice, _ = pick(b, now.Add(row.age), "", only)
			c.Check(choice.ServiceTime >= row.min && choice.ServiceTime <= row.max, qt.IsTrue, qt.Commentf("%v", choice.ServiceTime))
			c.Check(choice.MeanServiceTime, qt.Equals, usual)
		})
	}
}
