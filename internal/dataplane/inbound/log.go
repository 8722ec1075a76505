package inbound

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
)

// log logs a request that the instance did not answer.
func (p *Proxy) log(request *message.Request, order hop.Order, delivery Delivery) {
	if delivery.Report.Outcome == hop.Answered {
		return
	}
	entry, ok := p.lines.Take(true)
	if !ok {
		return
	}
	entry = entry.WithFields(logrus.Fields{
		"request": request.ID, "instance": order.Instance, "outcome": string(delivery.Report.Outcome),
		"reason": string(delivery.Report.Reason), "priority": order.Priority, "value": order.ValueRank,
		"ms": time.Since(request.Arrived).Milliseconds(), "left_ms": (order.Remaining - time.Since(request.Arrived)).Milliseconds(),
		"may_wait_ms": order.MaxWait.Milliseconds(), "due_ms": order.Due.Milliseconds(),
		"expected_ms": order.ServiceTime.Milliseconds(), "wait_ms": delivery.Report.RetryAfter.Milliseconds(), "running": delivery.Report.Running,
		"waiting": delivery.Report.Waiting, "slots": delivery.Report.Slots, "sender_revision": order.Revision,
	})
	if delivery.Report.Outcome == hop.Refused {
		entry = entry.WithFields(p.refusalFields(request, order, delivery))
	}
	if delivery.Err != nil {
		entry = entry.WithError(delivery.Err)
	}
	entry.Warn("request not answered by the instance")
}

// refusalFields returns what explains the refusal of a request: which requests hold the slots, how many slots
// its priority may take, how long it waited or would wait, and the backlog of the link.
func (p *Proxy) refusalFields(request *message.Request, order hop.Order, delivery Delivery) logrus.Fields {
	standing := p.queue.Standing(p.ticketFor(request, order))
	fields := logrus.Fields{
		"waited_ms": delivery.Report.Waited.Milliseconds(), "usable_slots": standing.Usable,
		"reserved_slots": delivery.Report.Slots - standing.Usable, "held": formatHeld(standing.Held), "ahead": standing.Ahead,
	}
	if route, known := p.routeOf(request); known {
		fields["route"] = route
		if p.responses != nil {
			fields["response_bytes"] = p.responses.sizes.mean(route)
		}
	}
	if link := delivery.Report.Link; link.IsKnown() {
		fields["link_backlog_ms"], fields["link_kib_per_second"] = link.Backlog.Milliseconds(), link.Rate
	}
	if order.Admission.Late {
		fields["withdrawn"] = delivery.withdrawn
		if standing.Forecast != nil {
			fields["forecast_ms"] = standing.Forecast.Milliseconds()
		}
	}
	return fields
}

// formatHeld returns the slots that each priority holds as "priority:slots", joined by commas.
func formatHeld(held map[int]int) string {
	priorities := slices.Sorted(maps.Keys(held))
	texts := make([]string, len(priorities))
	for i, priority := range priorities {
		texts[i] = fmt.Sprintf("%d:%d", priority, held[priority])
	}
	return strings.Join(texts, ",")
}
