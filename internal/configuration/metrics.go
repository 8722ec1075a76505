package configuration

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	revision    prometheus.Gauge
	generation  prometheus.Gauge
	refusals    prometheus.Counter
	compilation prometheus.Histogram

	evacuatedZones prometheus.Gauge
}

// newMetrics registers the metrics; with a nil registerer they count unseen.
func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	built := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "winchhead_configuration_revision",
			Help: "Revision of the configuration in force; 0 before the first.",
		}),
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "winchhead_configuration_generation",
			Help: "Snapshots put in force by this process, changes of the fleet included.",
		}),
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "winchhead_configuration_refusals_total",
			Help: "Documents that this node refused as a whole.",
		}),
		evacuatedZones: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "winchhead_configuration_evacuated_zones",
			Help: "Zones whose instances get no requests.",
		}),
		compilation: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "winchhead_configuration_compilation_seconds",
			Help:    "Time to compile all policies of a document.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
	}
	if registerer == nil {
		return built, nil
	}
	for _, collector := range []prometheus.Collector{built.revision, built.generation, built.refusals, built.compilation, built.evacuatedZones} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return built, nil
}
