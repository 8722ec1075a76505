package inbound

import (
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/slotuse"
)

// recordSlotUse records the slot time of a request that was sent to the instance, or which slots were in use when
// it found none. The rest of a streamed response is not counted.
func (p *Proxy) recordSlotUse(order hop.Order, delivery Delivery) {
	now := time.Now()
	switch report := delivery.Report; report.Outcome {
	case hop.Refused:
		if report.Reason == hop.ReasonOverloaded {
			p.slotUse.Refused(slotuse.Refusal{
				Priority: order.Priority, Running: report.Running, Slots: report.Slots,
				Usable: p.queue.Usable(order.Priority),
			}, now)
		}
	case hop.Rejected:
		p.slotUse.Ended(order.Priority, slotuse.Rejected, report.Execution, now)
	case hop.Unknown:
		p.slotUse.Ended(order.Priority, slotuse.Unanswered, report.Execution, now)
	case hop.Answered:
		p.slotUse.Ended(order.Priority, endingOf(order, delivery), report.Execution, now)
	}
}

// endingOf tells how a request ended that the instance answered.
func endingOf(order hop.Order, delivery Delivery) slotuse.Ending {
	switch {
	case delivery.Response != nil && delivery.Response.Status >= http.StatusInternalServerError:
		return slotuse.Failed
	case queue.Value(order.ValueRank) == queue.ValueLate, delivery.Report.Waited > order.Due:
		return slotuse.Late
	default:
		return slotuse.InTime
	}
}
