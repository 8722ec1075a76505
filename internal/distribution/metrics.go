package distribution

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/wire"
)

var (
	bytesMetric = prometheus.NewDesc("winchhead_control_bytes_total",
		"Bytes at the sockets of links to other nodes, by direction and kind of message.",
		[]string{"direction", "message"}, nil)
	framesMetric = prometheus.NewDesc("winchhead_control_frames_total",
		"Messages on links to other nodes, by direction and kind.", []string{"direction", "message"}, nil)
	readsMetric = prometheus.NewDesc("winchhead_platform_reads_total",
		"Requests to the platform, by what was read.", []string{"of"}, nil)
	readBytesMetric = prometheus.NewDesc("winchhead_platform_bytes_total",
		"Bytes exchanged with the platform, by what was read.", []string{"of"}, nil)
	linksMetric = prometheus.NewDesc("winchhead_control_links",
		"Links to other nodes that are up.", nil, nil)
	slowMetric = prometheus.NewDesc("winchhead_control_slow_peers_total",
		"Links closed because the peer did not take what was sent.", nil, nil)
	readerMetric = prometheus.NewDesc("winchhead_source_reader",
		"1 while this node reads the configuration source.", nil, nil)
	ageMetric = prometheus.NewDesc("winchhead_source_age_seconds",
		"Time since a reader last heard from the configuration source; -1: not known.", nil, nil)
)

// Describe implements prometheus.Collector.
func (n *Node) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		bytesMetric, framesMetric, readsMetric, readBytesMetric, linksMetric, slowMetric, readerMetric, ageMetric,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (n *Node) Collect(metrics chan<- prometheus.Metric) {
	stats, status := n.Stats(), n.Status()
	counter := func(description *prometheus.Desc, value int64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(description *prometheus.Desc, value float64) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
	for direction, byType := range map[string]map[wire.Type]Traffic{"sent": stats.Sent, "received": stats.Received} {
		for messageType, traffic := range byType {
			label := messageType.String()
			counter(bytesMetric, traffic.Bytes, direction, label)
			counter(framesMetric, traffic.Frames, direction, label)
		}
	}
	counter(readsMetric, stats.SourceReads, "configuration")
	counter(readBytesMetric, stats.SourceBytes, "configuration")
	counter(readsMetric, stats.ListReads, "members")
	counter(readBytesMetric, stats.ListBytes, "members")
	counter(slowMetric, stats.SlowPeers)
	gauge(linksMetric, float64(stats.Links))
	gauge(readerMetric, boolean(status.Reader))
	gauge(ageMetric, ageSeconds(status.SourceAge))
}

func boolean(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func ageSeconds(milliseconds int64) float64 {
	const perSecond = 1000
	if milliseconds == never {
		return never
	}
	return float64(milliseconds) / perSecond
}
