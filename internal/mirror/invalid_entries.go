package mirror

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxReportedEntries bounds how many reported entries are remembered.
const maxReportedEntries = 1000

// invalidEntryReporter reports entries that cannot be used. Each is logged once per key and
// revision, however often it is listed, and counted whenever it is read.
type invalidEntryReporter struct {
	logger logrus.FieldLogger
	count  prometheus.Counter

	mutex    sync.Mutex
	reported map[entryVersion]bool
}

// entryVersion identifies one revision of an entry.
type entryVersion struct {
	key      string
	revision snapshot.Revision
}

func newInvalidEntryReporter(registerer prometheus.Registerer, logger logrus.FieldLogger) (*invalidEntryReporter, error) {
	created := &invalidEntryReporter{
		logger:   logger,
		reported: make(map[entryVersion]bool),
		count: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "winchhead_mirror_unusable_entries_total",
			Help: "Entries read from the store that could not be used.",
		}),
	}
	if registerer == nil {
		return created, nil
	}
	return created, eris.Wrap(registerer.Register(created.count), "register the metrics of the mirror")
}

func (f *invalidEntryReporter) report(item Item, fault error) {
	f.count.Inc()
	if !f.isNew(entryVersion{key: item.Key, revision: item.Revision}) {
		return
	}
	entry := f.logger.WithFields(logrus.Fields{"key": item.Key, "revision": item.Revision.String()}).WithError(fault)
	if item.Kind == KindInstance {
		entry.Error("invalid instance entry in the store: the instance counts as removed")
		return
	}
	entry.Error("invalid entry in the store: the last good one stays in use")
}

// isNew reports whether the entry has not been reported yet, and remembers it.
func (f *invalidEntryReporter) isNew(place entryVersion) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reported[place] {
		return false
	}
	if len(f.reported) >= maxReportedEntries {
		clear(f.reported)
	}
	f.reported[place] = true
	return true
}
