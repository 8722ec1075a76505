package inbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// ticketFor returns the ticket with which the request queues for a slot.
func (p *Proxy) ticketFor(request *message.Request, order hop.Order) queue.Ticket {
	ticket := queue.Ticket{
		Priority: order.Priority, Value: queue.Value(order.ValueRank), Due: request.Arrived.Add(order.Due),
		LatestStart: request.Arrived.Add(order.Remaining - order.ServiceTime),
		MaxWait:     order.MaxWait, Expected: order.ServiceTime, Length: order.ServiceTime, OnlyCandidate: order.OnlyCandidate,
		Tenant: order.Tenant,
	}
	p.addAdmission(&ticket, order)
	enabled := p.options.Mechanisms
	if !enabled.ValueOrder {
		ticket.Value = queue.ValueFull
	}
	if !enabled.DueOrder {
		ticket.Due = request.Arrived
		ticket.Forecast = false // without due times, all requests would count as late
	}
	if !enabled.ShortFirst {
		ticket.Length = 0
	}
	ticket.OnlyCandidate = ticket.OnlyCandidate && enabled.KeepOnlyCandidate
	return p.scaleToLoad(ticket, request, order)
}

// reasonOf returns the reason that is reported for a refusal of the queue.
func (p *Proxy) reasonOf(refusal queue.Refusal) hop.Reason {
	switch refusal {
	case queue.Expired:
		return hop.ReasonDeadline
	case queue.Cancelled:
		return hop.ReasonCancelled
	case queue.RateLimited:
		return p.rates.reason(time.Now())
	default:
		return hop.ReasonOverloaded
	}
}
