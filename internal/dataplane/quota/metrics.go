package quota

import "github.com/prometheus/client_golang/prometheus"

const (
	// maxTenantLabels is how many tenants have metrics of their own.
	maxTenantLabels = 20
	// otherTenants is the label of all others together.
	otherTenants = "other"
)

// collector reports the rates of the busiest tenants at each collection. Rates are gauges, as a tenant that
// is no longer among the busiest moves to otherTenants.
type collector struct {
	limiter  *Limiter
	requests *prometheus.Desc
}

// Collector returns the metrics of the limiter.
func (l *Limiter) Collector() prometheus.Collector {
	return &collector{limiter: l, requests: prometheus.NewDesc("winchhead_tenant_requests_per_second",
		"Requests of tenants with a quota that start at this node, by outcome; the busiest tenants, and all others together.",
		[]string{"tenant", "outcome"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.requests }

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	other := Usage{Tenant: otherTenants}
	for i, usage := range c.limiter.Usage() {
		if i < maxTenantLabels && usage.Tenant != otherTenants {
			c.report(metrics, usage)
			continue
		}
		other.AdmittedPerSecond += usage.AdmittedPerSecond
		other.RefusedPerSecond += usage.RefusedPerSecond
	}
	c.report(metrics, other)
}

func (c *collector) report(metrics chan<- prometheus.Metric, usage Usage) {
	metrics <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, usage.AdmittedPerSecond, usage.Tenant, "admitted")
	metrics <- prometheus.MustNewConstMetric(c.requests, prometheus.GaugeValue, usage.RefusedPerSecond, usage.Tenant, "refused")
}
