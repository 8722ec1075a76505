package inbound

import (
	"time"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
)

// refuse returns the delivery of a request that is not sent to the instance, and may be sent again after the
// given time; zero: not known.
func (p *Proxy) refuse(reason hop.Reason, wait time.Duration) Delivery {
	report := p.report(hop.Refused, reason)
	report.RetryAfter = wait
	return Delivery{Report: report}
}

// report returns a report with the current load of the instance.
func (p *Proxy) report(outcome hop.Outcome, reason hop.Reason) hop.Report {
	usage, now := p.queue.Usage(), time.Now()
	const kibibyte = 1024
	return hop.Report{
		Outcome: outcome, Reason: reason, Running: usage.Running, Waiting: usage.Waiting, Slots: usage.Slots,
		Backlog: p.link.Backlog(), LinkRate: int(p.link.Rate() / kibibyte), SlowdownPercent: p.usualPercent(),
		MomentaryPercent: p.load.momentaryPercent(now),
		ColdFor:          p.cold.limit.InForceFor(now), Link: p.responses.report(),
	}
}
