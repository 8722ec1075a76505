package mirror

import (
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// maxReportedValues bounds how many reported values are remembered.
const maxReportedValues = 1000

// unknownValueReporter reports values in the store that the adapter does not recognize. Each is
// logged once per key and counted whenever it is read.
type unknownValueReporter struct {
	logger logrus.FieldLogger
	counts *prometheus.CounterVec

	mutex    sync.Mutex
	reported map[reportedValue]bool
}

// reportedValue is an unrecognized value and the key of its entry.
type reportedValue struct {
	key  string
	word UnknownValue
}

func newUnknownValueReporter(registerer prometheus.Registerer, logger logrus.FieldLogger) (*unknownValueReporter, error) {
	created := &unknownValueReporter{
		logger:   logger,
		reported: make(map[reportedValue]bool),
		counts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "winchhead_mirror_unknown_words_total",
			Help: "Words read from the store that are not known and were given their careful meaning, by field.",
		}, []string{"field"}),
	}
	if registerer == nil {
		return created, nil
	}
	return created, eris.Wrap(registerer.Register(created.counts), "register the metrics of the mirror")
}

func (u *unknownValueReporter) report(items []Item) {
	for _, item := range items {
		for _, unknown := range item.UnknownValues {
			u.counts.WithLabelValues(unknown.Field).Inc()
			unknown.Value = shortened(unknown.Value)
			if u.isNew(reportedValue{key: item.Key, word: unknown}) {
				u.logger.WithFields(logrus.Fields{
					"key": item.Key, "revision": item.Revision.String(), "field": unknown.Field, "word": unknown.Value,
				}).Warn("unrecognized value in the store: using a safe default")
			}
		}
	}
}

// maxReportedWordBytes is how much of a value is logged and remembered: an entry may hold any.
const maxReportedWordBytes = 64

func shortened(word string) string {
	if len(word) <= maxReportedWordBytes {
		return word
	}
	return strings.ToValidUTF8(word[:maxReportedWordBytes], "") + "..."
}

// isNew reports whether the value has not been reported for its key yet, and remembers it.
func (u *unknownValueReporter) isNew(place reportedValue) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.reported[place] {
		return false
	}
	if len(u.reported) >= maxReportedValues {
		clear(u.reported)
	}
	u.reported[place] = true
	return true
}
