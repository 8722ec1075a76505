package configuration

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	epoch       prometheus.Gauge
	revision    prometheus.Gauge
	generation  prometheus.Gauge
	refusals    prometheus.Counter
	compilation prometheus.Histogram

	evacuatedZones prometheus.Gauge
	faults         *prometheus.GaugeVec
}

// newMetrics creates the metrics and registers them unless the registerer is nil.
func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	built := &metrics{
		epoch: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "winchhead_configuration_epoch",
			Help: "Epoch of the source in which the revision in force was numbered: rises when the source is restored from a copy.",
		}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "winchhead_configuration_revision",
			Help: "Number of the revision in force within its epoch; 0 before the first.",
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
		faults: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "winchhead_configuration_faults",
			Help: "Resources of the configuration in force of whose entries not all was used, by kind.",
		}, []string{"kind"}),
		compilation: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "winchhead_configuration_compilation_seconds",
			Help:    "Time to compile all policies of a document.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 12),
		}),
	}
	if registerer == nil {
		return built, nil
	}
	for _, collector := range []prometheus.Collector{built.epoch, built.revision, built.generation, built.refusals, built.compilation, built.evacuatedZones, built.faults} {
		if err := registerer.Register(collector); err != nil {
			return nil, err
		}
	}
	return built, nil
}
