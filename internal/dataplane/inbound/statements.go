package inbound

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

// observeStatement records what an answer of the instance states about it. An answer with the status
// 421 comes from another instance at the address.
func (p *Proxy) observeStatement(request *message.Request, order hop.Order, status int, header http.Header, sent time.Time) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	stated := statement.Decode(p.options.Names, header)
	change, record, limitChanged := p.stated.observe(p.processOf(order.Instance), stated, sent, time.Now())
	if limitChanged {
		p.queue.LimitChanged()
	}
	if !change.Limit && !change.Leaving {
		return
	}
	fields := logrus.Fields{"request": request.ID, "instance": order.Instance, "service": p.options.Service, "sent_ms_ago": time.Since(sent).Milliseconds()}
	if change.Leaving {
		p.options.Logger.WithFields(fields).Info("the instance states that it leaves")
	}
	if change.Limit {
		p.metrics.setStatedLimit(record.Limit())
		p.logLimit(fields, change.Previous, record.Limit())
	}
}

// limitedFor returns how long the request would have to wait for the limit that the instance states, if
// its sender cannot have known of the limit and has other instances to choose from; otherwise zero.
func (p *Proxy) limitedFor(order hop.Order) time.Duration {
	if order.OnlyCandidate || order.StatedLimit.Stated || !p.stated.limiting.Load() {
		return 0
	}
	return p.stated.Delay(p.queue.Usage().Waiting, time.Now())
}

// countLimited counts a request that is refused because of the limit that the instance states.
func (p *Proxy) countLimited(order hop.Order, reason hop.Reason) {
	if reason == hop.ReasonLimited {
		p.options.Statements.CountRefusal(p.processOf(order.Instance))
	}
}

// logLimit logs a change of the limit that the instance states, as often as the limit on log lines allows.
func (p *Proxy) logLimit(fields logrus.Fields, previous, current statement.Limit) {
	entry, ok := p.lines.Take(true)
	if !ok {
		return
	}
	if previous.Stated {
		fields["previous_per_second"] = previous.PerSecond
	}
	if !current.Stated {
		entry.WithFields(fields).Info("the instance states no limit on its requests any more")
		return
	}
	fields["per_second"] = current.PerSecond
	entry.WithFields(fields).Info("the instance states a limit on its requests")
}
