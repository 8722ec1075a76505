package outbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/balance"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// TestInstanceFailed: which results count against the instance, and which against the time that
// its caller or the queue left it.
func TestInstanceFailed(t *testing.T) {
	const usual = 100 * time.Millisecond
	answer := func(status int, execution time.Duration) sendResult {
		return sendResult{
			report: hop.Report{Outcome: hop.Answered, Execution: execution}, reported: true,
			answer: &message.Response{Status: status},
		}
	}
	failure := func(outcome hop.Outcome, reason hop.Reason, execution time.Duration) sendResult {
		return sendResult{report: hop.Report{Outcome: outcome, Reason: reason, Execution: execution}, reported: true}
	}
	rows := map[string]struct {
		sent sendResult
		want bool
	}{
		"served":                        {answer(200, usual), false},
		"error of the request":          {answer(404, usual), false},
		"failed":                        {answer(500, usual), true},
		"status 504 after a long time":  {answer(504, 3*usual), true},
		"status 504 after a short time": {answer(504, usual/2), false},
		"no answer in a long time":      {failure(hop.Unknown, hop.ReasonDeadline, 3*usual), true},
		"no answer in a short time":     {failure(hop.Unknown, hop.ReasonDeadline, usual), false},
		"invalid answer":                {failure(hop.Unknown, hop.ReasonInvalid, usual), true},
		"caller disconnected":           {failure(hop.Unknown, hop.ReasonCancelled, 3*usual), false},
		"full":                          {failure(hop.Refused, hop.ReasonOverloaded, 0), false},
		"no report from its node":       {sendResult{report: hop.Report{Outcome: hop.Unknown, Reason: hop.ReasonInvalid}}, false},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, (&exchange{}).instanceFailed(balance.Choice{ServiceTime: usual}, row.sent), qt.Equals, row.want)
		})
	}
}
