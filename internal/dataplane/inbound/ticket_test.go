package inbound

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// TestForecastNeedsDueOrder guards against requests that all count as late, and are rejected where another instance
// is left, because the order by due time is switched off.
func TestForecastNeedsDueOrder(t *testing.T) {
	for _, dueOrder := range []bool{true, false} {
		enabled := mechanism.All()
		enabled.DueOrder = dueOrder
		proxy := &Proxy{options: Options{Mechanisms: enabled}, load: &instanceLoad{}}
		ticket := proxy.ticketFor(&message.Request{Arrived: time.Now()}, hop.Order{
			Due: time.Second, Remaining: 3 * time.Second, Admission: hop.Admission{Late: true, Elsewhere: true},
		})
		qt.Check(t, ticket.Forecast, qt.Equals, dueOrder)
	}
}
