package losses_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/dataplane/losses"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOneLineForEachRouteWithLosses(t *testing.T) {
	c := qt.New(t)
	logger, lines := logrustest.NewNullLogger()
	ledger := losses.New(logger)
	for i := range 5 {
		ledger.Note(losses.Request{Route: "no-losses", Ending: losses.InTime}, start.Add(time.Duration(i)*time.Millisecond))
	}
	ledger.Note(losses.Request{Route: "short", Service: "s", Ending: losses.InTime}, start)
	ledger.Note(losses.Request{
		Route: "short", Service: "s", Ending: losses.Late, Instance: "i-1",
		Times: losses.Times{Waiting: 200 * time.Millisecond, Instance: 300 * time.Millisecond},
	}, start)
	for range 2 {
		ledger.Note(losses.Request{Route: "short", Service: "s", Ending: losses.Refused, Reason: "overloaded", Instance: "i-2", Priority: 1}, start)
	}
	c.Assert(lines.AllEntries(), qt.HasLen, 0) // the second is not over yet
	ledger.Flush(start.Add(time.Second))
	c.Assert(lines.AllEntries(), qt.HasLen, 1)
	data := lines.LastEntry().Data
	c.Check(data[losses.FieldRoute], qt.Equals, "short")
	c.Check(data[losses.FieldSecond], qt.Equals, "2026-01-01T00:00:00Z")
	c.Check(data[string(losses.InTime)], qt.Equals, 1)
	c.Check(data[string(losses.Late)], qt.Equals, 1)
	c.Check(data[string(losses.Refused)], qt.Equals, 2)
	c.Check(data[losses.FieldReasons], qt.Equals, "overloaded:2")
	c.Check(data[losses.FieldInstances], qt.Equals, "i-2:2,i-1:1")
	c.Check(data[losses.FieldPriorities], qt.Equals, "1:2,0:1")
	c.Check(data[losses.FieldWaiting], qt.Equals, int64(200))
	ledger.Flush(start.Add(2 * time.Second))
	c.Check(lines.AllEntries(), qt.HasLen, 1)
}

// TestLinesAreLimited checks that of many routes with losses, those with the most are logged.
func TestLinesAreLimited(t *testing.T) {
	c := qt.New(t)
	logger, lines := logrustest.NewNullLogger()
	ledger := losses.New(logger)
	for route := range 100 {
		for range route + 1 {
			ledger.Note(losses.Request{Route: fmt.Sprintf("r-%02d", route), Ending: losses.Late}, start)
		}
	}
	ledger.Flush(start.Add(time.Minute))
	c.Assert(lines.AllEntries(), qt.HasLen, 8)
	c.Check(lines.AllEntries()[0].Data[losses.FieldRoute], qt.Equals, "r-99")
	c.Check(lines.LastEntry().Data[losses.FieldOmitted], qt.Equals, 92)
}
