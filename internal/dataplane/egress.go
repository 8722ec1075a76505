package dataplane

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/dataplane/transfer"
)

// link is what the parts of a node share about the egress direction of its machine's link.
type link struct {
	egress *transfer.Egress
	memory *server.ResponseMemory
}

// newLink returns the link of a node, with its metrics registered if its capacity is known.
func newLink(options Options) (link, error) {
	created := link{
		egress: transfer.NewEgress(options.LinkBytesPerSecond),
		memory: server.NewResponseMemory(server.DefaultStalledBytes, options.Logger.WithField("part", "egress")),
	}
	if created.egress == nil || options.Registerer == nil {
		return created, nil
	}
	for _, collector := range created.collectors() {
		if err := options.Registerer.Register(collector); err != nil {
			return link{}, eris.Wrap(err, "register the metrics of the link")
		}
	}
	return created, nil
}

// forResponses returns the schedule for responses, nil if they are not scheduled.
func (l link) forResponses(options Options) *transfer.Egress {
	if !options.Mechanisms.EgressSchedule {
		return nil
	}
	return l.egress
}

// forRequests returns the schedule for request bodies, nil if they are not paced.
func (l link) forRequests(options Options) *transfer.Egress {
	if !options.Mechanisms.EgressSchedule && !options.Mechanisms.LinkAdmission {
		return nil
	}
	return l.egress
}

func (l link) collectors() []prometheus.Collector {
	counter := func(name, help string, value func(stats transfer.EgressStats) float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "winchhead_dataplane_egress_" + name, Help: help},
			func() float64 { return value(l.egress.Stats()) })
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "winchhead_dataplane_egress_" + name, Help: help}, value)
	}
	return []prometheus.Collector{
		gauge("owed_seconds", "Time that the link needs for the queued and the expected large bodies.",
			func() float64 { return l.egress.Owed().Seconds() }),
		gauge("sending_bodies", "Large bodies that are being sent or wait for the link.",
			func() float64 { return float64(l.egress.Stats().Sending) }),
		gauge("stalled_bytes", "Bytes of responses held for clients that do not read.",
			func() float64 { return float64(l.memory.Stalled()) }),
		counter("bodies_total", "Large bodies that were written completely.",
			func(stats transfer.EgressStats) float64 { return float64(stats.Bodies) }),
		counter("bytes_total", "Bytes of large bodies that were written.",
			func(stats transfer.EgressStats) float64 { return float64(stats.Bytes) }),
		counter("small_bytes_total", "Bytes of small messages that were written at once.",
			func(stats transfer.EgressStats) float64 { return float64(stats.SmallBytes) }),
		counter("waited_seconds_total", "Time that large bodies waited for the link.",
			func(stats transfer.EgressStats) float64 { return stats.Waited.Seconds() }),
		counter("dropped_bodies_total", "Large bodies that were dropped because their connections ended.",
			func(stats transfer.EgressStats) float64 { return float64(stats.DroppedBodies) }),
		counter("dropped_bytes_total", "Bytes of those bodies that were not written.",
			func(stats transfer.EgressStats) float64 { return float64(stats.DroppedBytes) }),
		counter("stalled_closed_total", "Connections closed because their clients did not read.",
			func(transfer.EgressStats) float64 { return float64(l.memory.Closed()) }),
	}
}
