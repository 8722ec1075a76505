package inbound_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestRefusalIsExplained guards against log lines of refused requests that do not tell which requests hold the
// slots and how many slots were left to the request.
func TestRefusalIsExplained(t *testing.T) {
	c := qt.New(t)
	const slots, held, refused = 4, 1, 2
	started, end := make(chan struct{}), make(chan struct{})
	emulated := &instance.Instance{Name: "i-1", Work: func(string, <-chan struct{}) {
		started <- struct{}{}
		<-end
	}}
	logger, lines := logrustest.NewNullLogger()
	proxy := newServedProxy(t, emulated, inbound.Options{Mechanisms: mechanism.All(), Logger: logger}, rankedRoutes()...)
	ended := make(chan inbound.Delivery, slots)
	for range slots {
		go func() {
			ended <- deliver(proxy, "held", hop.Order{Instance: "i-1", Priority: held, Remaining: time.Minute, MaxWait: time.Minute})
		}()
		<-started
	}
	delivery := deliver(proxy, "refused", hop.Order{Instance: "i-1", Priority: refused, Remaining: time.Minute})
	c.Check(delivery.Report.Reason, qt.Equals, hop.ReasonOverloaded)
	c.Assert(lines.AllEntries(), qt.HasLen, 1)
	data := lines.LastEntry().Data
	for field, want := range map[string]any{
		"route": "h.example", "priority": refused, "held": "1:4", "usable_slots": slots, "reserved_slots": 0, "ahead": 0,
	} {
		c.Check(data[field], qt.Equals, want, qt.Commentf("%s", field))
	}
	c.Check(data["wait_ms"].(int64) > 0, qt.IsTrue)
	close(end)
	for range slots {
		c.Check((<-ended).Report.Outcome, qt.Equals, hop.Answered)
	}
}
