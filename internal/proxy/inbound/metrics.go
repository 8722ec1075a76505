package inbound

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/proxy/admission"
	"github.com/winchhead/winchhead/internal/proxy/idempotency"
)

// metricPrefix is the prefix of the names of all metrics of the package.
const metricPrefix = "winchhead_inbound_"

// metrics holds the metrics of the proxy.
type metrics struct {
	requests     *prometheus.CounterVec // by how they ended
	refused      *prometheus.CounterVec // by admission cause
	keys         *prometheus.CounterVec // by verdict of the memory
	reportedLoad prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer, proxy *Proxy) (*metrics, error) {
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, []string{label})
	}
	created := &metrics{
		requests: counter("requests_total", "Requests of other nodes, by how they ended.", "end"),
		refused:  counter("admission_refused_total", "Requests that got no slot, by cause.", "cause"),
		keys:     counter("idempotency_keys_total", "Requests with an Idempotency-Key, by how they stand to the first.", "verdict"),
		reportedLoad: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: metricPrefix + "reported_load_ratio",
			Help: "Load that the back end reports of itself; it may lag or mislead.",
		}),
	}
	collectors := []prometheus.Collector{created.requests, created.refused, created.keys, created.reportedLoad}
	collectors = append(collectors, gauges(proxy)...)
	if registerer == nil {
		return created, nil
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return nil, eris.Wrap(err, "inbound proxy: register metrics")
		}
	}
	return created, nil
}

// gauges returns metrics that read the proxy when they are collected.
func gauges(proxy *Proxy) []prometheus.Collector {
	gauge := func(name, help string, read func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help},
			func() float64 { return float64(read()) })
	}
	usage := proxy.admission.Usage
	return []prometheus.Collector{
		gauge("slots", "Slots of the back end.", func() int { return usage().Slots }),
		gauge("slots_in_use", "Requests that run on the back end.", func() int { return usage().InFlight }),
		gauge("queued_requests", "Requests that wait for a slot.", func() int { return usage().Queued }),
		gauge("sessions", "Sessions that hold a connection of the back end.", func() int { return usage().Sessions }),
		gauge("backend_connections", "Open connections to the back end.", proxy.backend.limit.count),
		gauge("state", "State of the instance: 1 starting, 2 ready, 3 draining.", func() int { return int(proxy.readiness.state()) }),
		gauge("pauses", "Pauses of this process since it started.", proxy.pauses.count),
	}
}

func (m *metrics) ended(end exchangeEnd)      { m.requests.WithLabelValues(end.name).Inc() }
func (m *metrics) shed(cause admission.Cause) { m.refused.WithLabelValues(cause.String()).Inc() }
func (m *metrics) claimed(verdict idempotency.Verdict) {
	m.keys.WithLabelValues(verdict.String()).Inc()
}
