package app

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/keys"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wire"
)

// registerMetrics registers the metrics of parts that only keep counters.
func registerMetrics(registerer prometheus.Registerer, node *distribution.Node, loaded *keys.Keys, tracker *suspects.Tracker) error {
	if err := registerer.Register(newDistributionCollector(node)); err != nil {
		return err
	}
	if err := registerSuspects(registerer, tracker); err != nil {
		return err
	}
	if loaded == nil {
		return nil
	}
	return registerer.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "winchhead_tls_certificate_expiry_timestamp_seconds",
		Help: "End of the node's certificate in Unix seconds.",
	}, func() float64 { return float64(loaded.Expires().Unix()) }))
}

// distributionCollector exports the counters of a distribution node as metrics.
type distributionCollector struct {
	node *distribution.Node

	sentBytes, sentFrames         *prometheus.Desc
	receivedBytes, receivedFrames *prometheus.Desc
	sourceBytes, sourceReads      *prometheus.Desc
	sourceAge, reader             *prometheus.Desc
	links, slowPeers, standIns    *prometheus.Desc
	members                       *prometheus.Desc
}

func newDistributionCollector(node *distribution.Node) *distributionCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("winchhead_"+name, help, labels, nil)
	}
	return &distributionCollector{
		node:           node,
		sentBytes:      describe("distribution_sent_bytes_total", "Bytes written to links, by kind of message.", "message"),
		sentFrames:     describe("distribution_sent_frames_total", "Frames written to links, by kind of message.", "message"),
		receivedBytes:  describe("distribution_received_bytes_total", "Bytes read from links, by kind of message.", "message"),
		receivedFrames: describe("distribution_received_frames_total", "Frames read from links, by kind of message.", "message"),
		sourceBytes:    describe("source_bytes_total", "Bytes exchanged with the platform, by what was read.", "read"),
		sourceReads:    describe("source_reads_total", "Requests to the platform, by what was read.", "read"),
		sourceAge:      describe("source_age_seconds", "Time since the version in force was last known to be the platform's newest; absent when never."),
		reader:         describe("source_reader", "1 while the node reads the platform's configuration, else 0."),
		links:          describe("distribution_links", "Links to other nodes that are up."),
		slowPeers:      describe("distribution_slow_peers_total", "Links closed because the peer did not take what was sent."),
		standIns:       describe("source_stand_ins_total", "Times that the node began to read the platform because nothing confirmed its version."),
		members:        describe("fleet_members", "Instances in the node's view, by state.", "state"),
	}
}

// Describe implements prometheus.Collector.
func (c *distributionCollector) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(c, descriptions)
}

// Collect implements prometheus.Collector.
func (c *distributionCollector) Collect(metrics chan<- prometheus.Metric) {
	stats := c.node.Stats()
	counter := func(description *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	collectTraffic(stats.Sent, c.sentBytes, c.sentFrames, counter)
	collectTraffic(stats.Received, c.receivedBytes, c.receivedFrames, counter)
	counter(c.sourceBytes, stats.SourceBytes, "configuration")
	counter(c.sourceReads, stats.SourceReads, "configuration")
	counter(c.sourceBytes, stats.ListBytes, "members")
	counter(c.sourceReads, stats.ListReads, "members")
	counter(c.slowPeers, stats.SlowPeers)
	counter(c.standIns, stats.StandIns)
	c.collectGauges(metrics, stats)
}

func collectTraffic(traffic map[wire.Type]distribution.Traffic, bytes, frames *prometheus.Desc,
	counter func(description *prometheus.Desc, value int64, labels ...string)) {
	for kind, counted := range traffic {
		counter(bytes, counted.Bytes, kind.String())
		counter(frames, counted.Frames, kind.String())
	}
}

func (c *distributionCollector) collectGauges(metrics chan<- prometheus.Metric, stats distribution.Stats) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	gauge(c.links, float64(stats.Links))
	status := c.node.Status()
	reader := 0.0
	if status.Reader {
		reader = 1
	}
	gauge(c.reader, reader)
	if status.SourceAge >= 0 {
		gauge(c.sourceAge, (time.Duration(status.SourceAge) * time.Millisecond).Seconds())
	}
	states := map[string]int{}
	for _, member := range c.node.View().Members() {
		states[member.Record.State.String()]++
	}
	for state, count := range states {
		gauge(c.members, float64(count), state)
	}
}
