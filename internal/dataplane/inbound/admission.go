package inbound

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
)

// addAdmission adds to a ticket how the request may wait by its order.
func (p *Proxy) addAdmission(ticket *queue.Ticket, order hop.Order) {
	if !p.options.Mechanisms.Admission || !order.Admission.Late {
		return
	}
	ticket.Forecast, ticket.Retried, ticket.Elsewhere = true, order.Admission.Retried, order.Admission.Elsewhere
}

// lateCounters returns the counters of requests that could only be late.
func lateCounters(waiting *queue.Queue) []prometheus.Collector {
	counter := func(result string, value func(queue.LateCounts) uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "winchhead_dataplane_late_requests_total",
			Help:        "Requests that could only be late, by what became of them: waited and demoted (began to wait as late ones, on arrival or later), rejected, withdrawn (rejected while they waited), started.",
			ConstLabels: prometheus.Labels{"result": result},
		}, func() float64 { return float64(value(waiting.LateCounts())) })
	}
	return []prometheus.Collector{
		counter("waited", func(c queue.LateCounts) uint64 { return c.Waited }),
		counter("demoted", func(c queue.LateCounts) uint64 { return c.Demoted }),
		counter("rejected", func(c queue.LateCounts) uint64 { return c.Rejected }),
		counter("withdrawn", func(c queue.LateCounts) uint64 { return c.Withdrawn }),
		counter("started", func(c queue.LateCounts) uint64 { return c.Started }),
	}
}
