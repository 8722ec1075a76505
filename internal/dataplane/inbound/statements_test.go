package inbound_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// TestStatementsAreObserved checks that each kind of answer counts that comes from the instance itself,
// whatever its status, and that changes are logged once.
func TestStatementsAreObserved(t *testing.T) {
	limited := statement.Limit{Stated: true, PerSecond: 4.2}
	for name, row := range map[string]struct {
		fault instance.Fault
		want  statement.Limit
	}{
		"answered":                    {instance.None, limited},
		"failed":                      {instance.Fails, limited},
		"rejected":                    {instance.Reject, limited},
		"cut after its header":        {instance.Cut, limited},
		"answered by another":         {instance.OtherInstance, statement.Limit{}},
		"answer to another request":   {instance.Garbage, statement.Limit{}},
		"connection lost, no answer":  {instance.Lost, statement.Limit{}},
		"answer ends with connection": {instance.Unframed, limited},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			logger, lines := test.NewNullLogger()
			statements := statement.NewTracker()
			emulated := &instance.Instance{Name: "i-1"}
			emulated.SetStatement(instance.LimitLine(4.2))
			emulated.SetPlan(func(string) instance.Fault { return row.fault })
			proxy := newServedProxy(t, emulated, inbound.Options{Mechanisms: mechanism.All(), Statements: statements, Logger: logger})
			deliver(proxy, "first", hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: time.Minute})
			c.Check(statements.Get(snapshot.InstanceID{Name: "i-1"}).Limit(), qt.Equals, row.want)
			stated := 0
			for _, line := range lines.AllEntries() {
				if line.Message == "the instance states a limit on its requests" {
					stated++
					c.Check(line.Data["request"], qt.Equals, "first")
				}
			}
			c.Check(stated == 1, qt.Equals, row.want.Stated)
		})
	}
}

// TestBodiesBeyondTheLimitAreRefused checks that a sender which cannot know of a limit is told before it sends
// a body, and that operators see that refusal like those of other requests.
func TestBodiesBeyondTheLimitAreRefused(t *testing.T) {
	c := qt.New(t)
	statements := statement.NewTracker()
	emulated := &instance.Instance{Name: "i-1"}
	emulated.SetStatement(instance.LimitLine(0))
	proxy := newServedProxy(t, emulated, inbound.Options{Mechanisms: mechanism.All(), Statements: statements})
	order := hop.Order{Instance: "i-1", Remaining: time.Minute, MaxWait: time.Minute}
	c.Assert(deliver(proxy, "first", order).Report.Outcome, qt.Equals, hop.Answered)
	for deliver(proxy, "next", order).Report.Reason != hop.ReasonLimited { // after a pause of the test one more may run
	}
	header := http.Header{}
	order.AddTo(header)
	admit := func() *message.Response {
		return proxy.Admit(t.Context(), &message.Request{ID: "body", Header: header, Arrived: time.Now()}, 100).Refusal
	}
	refusal := admit()
	for refusal == nil {
		deliver(proxy, "next", order)
		refusal = admit()
	}
	report, err := hop.DecodeReport(refusal.Header.Get(hop.Header))
	c.Assert(err, qt.IsNil)
	c.Check(report.Reason, qt.Equals, hop.ReasonLimited)
	c.Check(report.RetryAfter > 0, qt.IsTrue)
	c.Check(statements.Get(snapshot.InstanceID{Name: "i-1"}).Refused() >= 2, qt.IsTrue)
}
