package inbound

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/queue"
	"github.com/winchhead/winchhead/internal/dataplane/slotuse"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
)

type metrics struct {
	deliveries *prometheus.CounterVec
	waits      prometheus.Histogram
	crashes    prometheus.Counter
	// limited is 1 while the instance states a limit, statedLimit is that limit.
	limited, statedLimit prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer, waiting *queue.Queue, cold *coldTracker, slotUse *slotuse.Ledger) (*metrics, error) {
	created := &metrics{
		deliveries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_deliveries_total",
			Help: "Requests for the instance beside the node, by outcome (a answered, r refused, j rejected, u unknown) and reason.",
		}, []string{"outcome", "reason"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "winchhead_dataplane_queue_wait_seconds",
			Help:    "Time that requests waited for a slot of the instance, refused ones included.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
	}
	created.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "winchhead_dataplane_instance_crashes_total",
		Help: "Crashes of the instance beside the node while it worked on requests.",
	})
	created.limited = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "winchhead_dataplane_instance_limited",
		Help: "1 while the instance beside the node states a limit on the rate of its requests.",
	})
	created.statedLimit = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "winchhead_dataplane_instance_limit_per_second",
		Help: "The limit that the instance beside the node states, in requests per second; 0 if it states none.",
	})
	return created, registerAll(registerer, append(append(lateCounters(waiting), slotUse.Collectors()...),
		created.deliveries, created.waits, created.crashes, created.limited, created.statedLimit,
		usageGauge("winchhead_dataplane_running_requests", "Requests that run on the instance.",
			func() int { return waiting.Usage().Running }),
		usageGauge("winchhead_dataplane_waiting_requests", "Requests that wait for a slot of the instance.",
			func() int { usage := waiting.Usage(); return usage.Waiting + usage.Late }),
		usageGauge("winchhead_dataplane_reserved_slots", "Slots of the instance that requests of the lowest priority in use may not take.",
			waiting.Reserved),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "winchhead_dataplane_instance_cold_seconds",
			Help: "Time for which the instance beside the node still counts as cold; 0 if it counts as warm.",
		}, func() float64 { return cold.limit.InForceFor(time.Now()).Seconds() }),
		cold.checks,
		usageGauge("winchhead_dataplane_slots", "Slots of the instance.",
			func() int { return waiting.Usage().Slots }),
	)...)
}

// registerAll registers collectors, unless there is no registerer.
func registerAll(registerer prometheus.Registerer, collectors ...prometheus.Collector) error {
	if registerer == nil {
		return nil
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register the metrics of the data plane")
		}
	}
	return nil
}

func usageGauge(name, help string, value func() int) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(value()) })
}

func (m *metrics) observeDelivery(report hop.Report) {
	m.deliveries.WithLabelValues(string(report.Outcome), string(report.Reason)).Inc()
}

func (m *metrics) setStatedLimit(limit statement.Limit) {
	m.limited.Set(0)
	if limit.Stated {
		m.limited.Set(1)
	}
	m.statedLimit.Set(limit.PerSecond)
}

func (m *metrics) observeWait(wait time.Duration) { m.waits.Observe(wait.Seconds()) }
