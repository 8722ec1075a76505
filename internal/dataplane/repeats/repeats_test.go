package repeats_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/dataplane/repeats"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func account(string, time.Time) (spent, allowed float64) { return 3.04, 12 }

// TestOneLineForEachServiceWithRepeats also checks that a service with first sends only is
// not logged.
func TestOneLineForEachServiceWithRepeats(t *testing.T) {
	c := qt.New(t)
	logger, lines := logrustest.NewNullLogger()
	ledger := repeats.New(logger, account)
	for range 5 {
		ledger.Sent("no-repeats", repeats.First, 0.01, start)
		ledger.Sent("data", repeats.First, 0.3, start)
	}
	ledger.Sent("data", repeats.AfterRejection, 1, start)
	ledger.Sent("data", repeats.AfterFailure, 0, start)
	ledger.Stopped("data", start)
	c.Assert(lines.AllEntries(), qt.HasLen, 0) // the second is not over yet
	ledger.Flush(start.Add(time.Second))
	c.Assert(lines.AllEntries(), qt.HasLen, 1)
	data := lines.LastEntry().Data
	for field, want := range map[string]any{
		repeats.FieldService: "data", repeats.FieldSecond: "2026-01-01T00:00:00Z", string(repeats.First): 5,
		string(repeats.AfterRejection): 1, string(repeats.AfterFailure): 1, repeats.FieldInherited: 1.5,
		repeats.FieldStopped: 1, repeats.FieldSpent: 3.0, repeats.FieldAllowed: 12.0,
	} {
		c.Check(data[field], qt.Equals, want, qt.Commentf("%s", field))
	}
	ledger.Flush(start.Add(2 * time.Second))
	c.Check(lines.AllEntries(), qt.HasLen, 1)
}

// TestStoppedRepeatsAreLogged checks that a service is logged if the bound stops all of its
// repeats.
func TestStoppedRepeatsAreLogged(t *testing.T) {
	logger, lines := logrustest.NewNullLogger()
	ledger := repeats.New(logger, account)
	ledger.Stopped("data", start)
	ledger.Flush(start.Add(time.Second))
	qt.Check(t, lines.AllEntries(), qt.HasLen, 1)
}
