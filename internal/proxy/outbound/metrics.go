package outbound

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/winchhead/winchhead/internal/proxy/outcome"
)

// metrics holds the counters for all label values. They are created at start, which
// bounds their number and avoids label lookups while a request is served.
type metrics struct {
	requests    map[completion]prometheus.Counter
	other       prometheus.Counter
	duration    prometheus.Histogram
	retries     prometheus.Counter
	budgetEmpty prometheus.Counter
	ejections   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "winchhead_outbound_requests_total",
		Help: "Requests of callers, by outcome and, for failures, reason.",
	}, []string{"outcome", "reason"})
	result := &metrics{
		requests: make(map[completion]prometheus.Counter),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "winchhead_outbound_request_duration_seconds",
			Help:    "Time from a request's header to the end of its answer, sessions included.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17),
		}),
		retries:     newCounter("winchhead_outbound_retries_total", "Requests sent again to another instance."),
		budgetEmpty: newCounter("winchhead_outbound_retry_budget_empty_total", "Retries not made because the budget of the service was empty."),
		ejections:   newCounter("winchhead_outbound_ejections_total", "Instances taken out for a while after failures in a row."),
	}
	for _, known := range []completion{answered, truncated, timedOut, callerGone} {
		result.requests[known] = requests.WithLabelValues(known.outcome, string(known.reason))
	}
	for _, reason := range outcome.Reasons() {
		for _, kind := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
			result.requests[completion{string(kind), reason}] = requests.WithLabelValues(string(kind), string(reason))
		}
	}
	result.other = requests.WithLabelValues("other", "other")
	if registerer == nil {
		return result, nil
	}
	for _, collector := range []prometheus.Collector{requests, result.duration, result.retries, result.budgetEmpty, result.ejections} {
		if err := registerer.Register(collector); err != nil {
			return nil, eris.Wrap(err, "outbound proxy: register metrics")
		}
	}
	return result, nil
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (m *metrics) observe(ended completion, elapsed time.Duration) {
	counter, known := m.requests[ended]
	if !known {
		counter = m.other
	}
	counter.Inc()
	m.duration.Observe(elapsed.Seconds())
}
