package mesh

import (
	"context"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// The metrics of a node that count control traffic in bytes.
const (
	controlBytesMetric = "winchhead_distribution_sent_bytes_total"
	sourceBytesMetric  = "winchhead_source_bytes_total"
)

// ControlBytes returns the control traffic of all nodes so far, in bytes: what they
// sent to each other and exchanged with the platform.
func (m *Mesh) ControlBytes(ctx context.Context) (int64, error) {
	var total float64
	for _, node := range m.nodes {
		families, err := node.metrics(ctx)
		if err != nil {
			return 0, err
		}
		total += sumCounters(families[controlBytesMetric]) + sumCounters(families[sourceBytesMetric])
	}
	return int64(total), nil
}

// metrics fetches the node's metric families by name.
func (n *Node) metrics(ctx context.Context) (map[string]*dto.MetricFamily, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddress()+"/metrics", nil)
	if err != nil {
		return nil, eris.Wrap(err, "create the metrics request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "metrics of %s", n.Name())
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	return families, eris.Wrapf(err, "metrics of %s", n.Name())
}

// sum adds the values of all counters of a family, which may be nil.
func sumCounters(family *dto.MetricFamily) float64 {
	var total float64
	for _, metric := range family.GetMetric() {
		total += metric.GetCounter().GetValue()
	}
	return total
}
