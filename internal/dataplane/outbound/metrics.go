package outbound

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/losses"
	"github.com/winchhead/winchhead/internal/dataplane/repeats"
)

// Outcomes of requests in metrics and logs.
const (
	outcomeAnswered   = "answered"
	outcomeNotRun     = "not-run"
	outcomeUnknown    = "unknown"
	outcomeCallerGone = "caller-gone"
	outcomeNoRoute    = "no-route"
	outcomeMalformed  = "malformed"
	// outcomeQuarantined: not run, as such requests crash instances. It is kept apart from
	// outcomeNotRun, as it tells nothing about the capacity: the more requests are refused for
	// lack of that, the later callers are asked to retry.
	outcomeQuarantined = "shut-out"
	// outcomeUnauthenticated: the key is missing, malformed or not known.
	outcomeUnauthenticated = "unauthenticated"
	// outcomeBeyondQuota: the quota of the tenant is used up.
	outcomeBeyondQuota = "beyond-quota"
)

type metrics struct {
	requests    *prometheus.CounterVec
	duration    prometheus.Histogram
	sends       *prometheus.CounterVec
	repeats     prometheus.Counter
	arrivals    *prometheus.CounterVec
	budgetEmpty prometheus.Counter
	losses      *prometheus.CounterVec
	lostTime    *prometheus.HistogramVec
	busyLinks   prometheus.Counter
	calls       *prometheus.CounterVec
	early       *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	created := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_requests_total",
			Help: "Requests of callers, by service and by how they ended.",
		}, []string{"service", "outcome"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "winchhead_dataplane_request_duration_seconds",
			Help:    "Time from the reading of a request to its final answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_sends_total",
			Help: "Sends to nodes beside instances, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		repeats: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "winchhead_dataplane_repeats_total",
			Help: "Requests sent to a further instance after one was reached.",
		}),
		arrivals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_dataplane_arrivals_total",
			Help: "Sends that reached an instance, by service and by what came before: first, after_rejection, after_failure, after_unknown.",
		}, []string{"service", "kind"}),
		budgetEmpty: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "winchhead_dataplane_repeat_budget_empty_total",
			Help: "Repeats not made because this node's part of the budget was spent.",
		}),
	}
	created.losses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "winchhead_dataplane_losses_total",
		Help: "Requests of callers that did not end in time, by service and by how they ended.",
	}, []string{"service", "ending"})
	created.lostTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "winchhead_dataplane_lost_time_seconds",
		Help:    "Where the time of requests went that did not end in time: waiting, instance, between nodes, sends before.",
		Buckets: prometheus.ExponentialBuckets(0.01, 4, 6),
	}, []string{"where"})
	created.busyLinks = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "winchhead_dataplane_busy_link_timeouts_total",
		Help: "Attempts to connect to a node that timed out and did not eject its instance, as the link is busy.",
	})
	created.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "winchhead_dataplane_calls_total",
		Help: "Requests known to be calls of the local instance, by whether they got a higher priority than that of their route (raised) or not (own).",
	}, []string{"priority"})
	created.early = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "winchhead_dataplane_early_rejections_total",
		Help: "Requests rejected without asking further instances, by service and by how many had no capacity (1: the service was known to be full).",
	}, []string{"service", "asked"})
	if registerer == nil {
		return created, nil
	}
	for _, collector := range []prometheus.Collector{created.requests, created.duration, created.sends, created.repeats, created.arrivals, created.budgetEmpty, created.losses, created.lostTime, created.busyLinks, created.calls, created.early} {
		if err := registerer.Register(collector); err != nil {
			return nil, eris.Wrap(err, "register the metrics of the data plane")
		}
	}
	return created, nil
}

func (m *metrics) ended(service, outcome string, duration time.Duration) {
	m.requests.WithLabelValues(service, outcome).Inc()
	if duration > 0 {
		m.duration.Observe(duration.Seconds())
	}
}

// lost records a request that did not end in time.
func (m *metrics) lost(service string, ending losses.Ending, times losses.Times) {
	m.losses.WithLabelValues(service, string(ending)).Inc()
	m.lostTime.WithLabelValues("waiting").Observe(times.Waiting.Seconds())
	m.lostTime.WithLabelValues("instance").Observe(times.Instance.Seconds())
	m.lostTime.WithLabelValues("between").Observe(times.BetweenNodes.Seconds())
	m.lostTime.WithLabelValues("before").Observe(times.EarlierSends.Seconds())
}

// called counts a call of the local instance.
func (m *metrics) called(raised bool) {
	priority := "own"
	if raised {
		priority = "raised"
	}
	m.calls.WithLabelValues(priority).Inc()
}

// rejectedEarly records a request that is rejected although further instances are left.
func (m *metrics) rejectedEarly(service string, asked int) {
	m.early.WithLabelValues(service, strconv.Itoa(asked)).Inc()
}

func (m *metrics) arrived(service string, kind repeats.Kind) {
	m.arrivals.WithLabelValues(service, string(kind)).Inc()
}

func (m *metrics) sent(report hop.Report) {
	m.sends.WithLabelValues(string(report.Outcome), string(report.Reason)).Inc()
}
