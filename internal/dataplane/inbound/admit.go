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

// Admit decides whether another node may send the body of a request. A large body is
// admitted once the link is free, if the request can then still meet its deadline. A small
// body is admitted immediately, unless the queue would refuse the request. No part of a
// refused body has been sent and its request has not been executed.
func (p *Proxy) Admit(ctx context.Context, request *message.Request, bytes int64) server.Admission {
	order, err := hop.OrderFrom(request.Header)
	if err != nil {
		return p.refuseAdmission(request, Delivery{Report: p.report(hop.Refused, hop.ReasonMalformed), Err: err})
	}
	if p.stopsBefore(request.Arrived.Add(order.Remaining)) {
		return p.refuseAdmission(request, p.refuse(hop.ReasonDraining, 0))
	}
	if reason := p.checkTarget(order); reason != hop.ReasonNone {
		return p.refuseAdmission(request, p.refuse(reason, 0))
	}
	if wait := p.responseExcess(request, order); wait > 0 {
		delivery := p.refuse(hop.ReasonLink, wait)
		p.log(request, order, delivery)
		return p.refuseAdmission(request, delivery)
	}
	if bytes < transfer.MinQueuedBytes {
		return p.admitSmall(ctx, request, order)
	}
	grant, refusal, wait := p.link.Acquire(ctx, p.linkTicket(request, order, bytes), bytes)
	if refusal != queue.None {
		delivery := p.refuse(p.linkReasonOf(refusal), wait)
		p.log(request, order, delivery)
		return p.refuseAdmission(request, delivery)
	}
	admission := server.Admission{Release: func(complete bool) {
		if complete {
			grant.Received()
			return
		}
		grant.Release()
		p.logIncompleteBody(request, order, bytes)
	}}
	if pace := p.link.Pace(); pace > 0 {
		admission.Interim = server.InterimHeader(hop.HeaderPace, strconv.FormatInt(pace, 10))
	}
	return admission
}

// admitSmall admits a small body immediately, unless the queue would refuse the request
// now. The body of a refused request is thus never sent over the link.
func (p *Proxy) admitSmall(ctx context.Context, request *message.Request, order hop.Order) server.Admission {
	p.cold.awaitFirstCheck(ctx)
	reason, wait := hop.ReasonNone, p.limitedFor(order)
	if wait > 0 {
		reason = hop.ReasonLimited
	} else if refusal, slotWait := p.queue.Refusal(p.ticketFor(request, order)); refusal != queue.None {
		reason, wait = p.reasonOf(refusal), slotWait
	}
	if reason == hop.ReasonNone {
		return server.Admission{}
	}
	delivery := p.refuse(reason, wait)
	p.countLimited(order, reason)
	p.recordSlotUse(order, delivery)
	p.log(request, order, delivery)
	return p.refuseAdmission(request, delivery)
}

// linkTicket returns the ticket with which a request queues for the link. The time to
// receive the body and to wait for a slot is deducted from the time it may wait.
func (p *Proxy) linkTicket(request *message.Request, order hop.Order, bytes int64) queue.Ticket {
	ticket := p.ticketFor(request, order)
	ticket.Tenant = "" // shares are shares of slot time
	ticket.Forecast = false
	afterLink := p.link.Duration(bytes) + p.queue.Wait(ticket)
	ticket.LatestStart = ticket.LatestStart.Add(-afterLink)
	ticket.MaxWait = max(ticket.MaxWait-afterLink, 0)
	return ticket
}

func (p *Proxy) linkReasonOf(refusal queue.Refusal) hop.Reason {
	if refusal == queue.Busy {
		return hop.ReasonLink
	}
	return p.reasonOf(refusal)
}

func (p *Proxy) refuseAdmission(request *message.Request, delivery Delivery) server.Admission {
	p.metrics.observeDelivery(delivery.Report)
	return server.Admission{Refusal: p.answerFor(request, delivery)}
}

// bodyRetryAfter is when a sender should come back with a body that found no memory.
const bodyRetryAfter = 200 * time.Millisecond

// RefuseBody returns the answer to a request whose body finds no memory. It has not run.
func (p *Proxy) RefuseBody(request *message.Request) *message.Response {
	return p.refuseAdmission(request, p.refuse(hop.ReasonOverloaded, bodyRetryAfter)).Refusal
}

// logIncompleteBody logs that an admitted body was not received completely.
func (p *Proxy) logIncompleteBody(request *message.Request, order hop.Order, bytes int64) {
	entry, ok := p.lines.Take(true)
	if !ok {
		return
	}
	entry.WithFields(logrus.Fields{
		"request": request.ID, "instance": order.Instance, "bytes": bytes,
		"ms": time.Since(request.Arrived).Milliseconds(), "backlog_ms": p.link.Backlog().Milliseconds(),
	}).Warn("request body was not received completely; the request was not executed")
}
