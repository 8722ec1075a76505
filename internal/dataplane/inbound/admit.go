package inbound

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// Admit decides whether another node may send the body of a request: a large one once
// the link is free for it, if the request can then still be in time; a small one at
// once, unless the queue would refuse it. One that is refused
// has sent nothing of its body and has not run.
func (p *Proxy) Admit(ctx context.Context, request *message.Request, bytes int64) server.Admission {
	order, err := hop.DecodeOrder(request.Header.Get(hop.Header))
	if err != nil {
		return p.notAdmitted(request, Delivery{Report: p.report(hop.Refused, hop.ReasonMalformed), Err: err})
	}
	if p.leaves(request.Arrived.Add(order.Remaining)) {
		return p.notAdmitted(request, p.refuse(hop.ReasonDraining, 0))
	}
	if reason := p.check(order); reason != hop.ReasonNone {
		return p.notAdmitted(request, p.refuse(reason, 0))
	}
	if bytes < transfer.LargeBody {
		return p.admitSmall(request, order)
	}
	grant, refusal, wait := p.link.Acquire(ctx, p.linkTicket(request, order, bytes), bytes)
	if refusal != queue.None {
		delivery := p.refuse(linkReasonOf(refusal), wait)
		p.log(request, order, delivery)
		return p.notAdmitted(request, delivery)
	}
	admission := server.Admission{Done: func(whole bool) {
		if whole {
			grant.Received()
			return
		}
		grant.Release()
		p.logBroken(request, order, bytes)
	}}
	if pace := p.link.Pace(); pace > 0 {
		admission.Interim = server.Interim(hop.HeaderPace, strconv.FormatInt(pace, 10))
	}
	return admission
}

// admitSmall admits a short body at once, unless the queue would refuse the request now:
// the body of a refused request then never crosses the link.
func (p *Proxy) admitSmall(request *message.Request, order hop.Order) server.Admission {
	if refusal, wait := p.queue.Refusal(p.ticketOf(request, order)); refusal != queue.None {
		delivery := p.refuse(reasonOf(refusal), wait)
		p.log(request, order, delivery)
		return p.notAdmitted(request, delivery)
	}
	return server.Admission{}
}

// linkTicket asks for the link. What the request will need after the body leaves less
// time to wait for it: the body itself, the wait for a slot, and the work.
func (p *Proxy) linkTicket(request *message.Request, order hop.Order, bytes int64) queue.Ticket {
	ticket := p.ticketOf(request, order)
	later := p.link.Duration(bytes) + p.queue.Wait(ticket)
	ticket.LatestStart = ticket.LatestStart.Add(-later)
	ticket.MaxWait = max(ticket.MaxWait-later, 0)
	return ticket
}

func linkReasonOf(refusal queue.Refusal) hop.Reason {
	if refusal == queue.Busy {
		return hop.ReasonLink
	}
	return reasonOf(refusal)
}

func (p *Proxy) notAdmitted(request *message.Request, delivery Delivery) server.Admission {
	p.metrics.delivered(delivery.Report)
	return server.Admission{Refusal: p.answerOf(request, delivery)}
}

// logBroken writes a line about a body that was admitted and did not come whole.
func (p *Proxy) logBroken(request *message.Request, order hop.Order, bytes int64) {
	entry, ok := p.lines.Take(true)
	if !ok {
		return
	}
	entry.WithFields(logrus.Fields{
		"request": request.ID, "instance": order.Instance, "bytes": bytes,
		"ms": time.Since(request.Arrived).Milliseconds(), "backlog_ms": p.link.Backlog().Milliseconds(),
	}).Warn("a body did not come whole; the request has not run")
}
