package app

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/suspects"
)

// newCrashHandler returns a function that records and logs crashes reported by other nodes.
func newCrashHandler(tracker *suspects.Tracker, logger logrus.FieldLogger) func([]suspects.Crash) {
	return func(crashes []suspects.Crash) {
		tracker.MergeRemote(crashes)
		for _, crash := range crashes {
			logger.WithFields(describeCrash(crash)).Info("another node reported the crash of an instance")
		}
	}
}

// describeCrash returns the log fields of a crash record.
func describeCrash(crash suspects.Crash) logrus.Fields {
	cleared, probed := 0, ""
	for _, request := range crash.Requests {
		if request.Cleared {
			cleared++
		}
		if request.Probed {
			probed = request.Fingerprint.String()
		}
	}
	return logrus.Fields{
		"instance": crash.Instance, "at": crash.At.UTC(), "in_progress": len(crash.Requests), "cleared": cleared, "probed": probed,
	}
}

// registerSuspects registers gauges of the request contents that are suspected or
// quarantined.
func registerSuspects(registerer prometheus.Registerer, tracker *suspects.Tracker) error {
	for name, gauge := range map[string]struct {
		standing suspects.Standing
		help     string
	}{
		"winchhead_suspected_requests":   {suspects.Suspected, "Contents of requests that may have crashed an instance and are probed one at a time."},
		"winchhead_quarantined_requests": {suspects.Quarantined, "Contents of requests that crashed instances under probes and are refused."},
	} {
		count := func() float64 { return float64(tracker.Count(gauge.standing)) }
		if err := registerer.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: gauge.help}, count)); err != nil {
			return err
		}
	}
	return nil
}
