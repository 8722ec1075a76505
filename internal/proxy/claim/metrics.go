package claim

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// metrics holds the metrics of claims.
type metrics struct {
	claims  *prometheus.CounterVec
	seconds prometheus.Histogram
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_claims_total",
			Help: "Claims of an Idempotency-Key for requests to this node, by verdict.",
		}, []string{"verdict"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "winchhead_claim_duration_seconds",
			Help:    "Time that the claim of an Idempotency-Key took.",
			Buckets: []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1},
		}),
	}
	return created, register(registerer, created.claims, created.seconds)
}

func registerKeys(registerer prometheus.Registerer, replica *Replica) error {
	return register(registerer, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "winchhead_claim_remembered_keys",
		Help: "Idempotency-Keys that this node remembers for the fleet.",
	}, func() float64 { return float64(replica.keys()) }))
}

func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) error {
	if registerer == nil {
		return nil
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "claims: register metrics")
		}
	}
	return nil
}

func (m *metrics) ended(outcome result, duration time.Duration) {
	m.claims.WithLabelValues(outcome.String()).Inc()
	m.seconds.Observe(duration.Seconds())
}
