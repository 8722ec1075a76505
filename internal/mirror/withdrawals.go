package mirror

import (
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// maxWithdrawalLines bounds the log lines of one read about instances taken out of service, so
// that a fleet that stops as a whole does not flood the log.
const maxWithdrawalLines = 16

// logWithdrawals logs each item that takes instances out of service, so that the log shows when
// each reader learned of it.
func logWithdrawals(logger logrus.FieldLogger, items []Item) {
	lines := 0
	for _, item := range items {
		message, ends := withdrawalMessage(item)
		if !ends {
			continue
		}
		if lines++; lines > maxWithdrawalLines {
			logger.WithField("most", maxWithdrawalLines).Info("more entries that take instances out of service were read")
			return
		}
		logger.WithFields(logrus.Fields{"key": item.Key, "revision": item.Revision.String()}).Info(message)
	}
}

// withdrawalMessage returns the log message for an item that takes instances out of service.
func withdrawalMessage(item Item) (message string, ends bool) {
	switch {
	case item.Kind == KindInstance && item.Removed:
		return "read from the store: instance removed", true
	case item.Instance != nil && item.Instance.State == snapshot.InstanceDraining:
		return "read from the store: instance is draining", true
	case item.Kind == KindEvacuation && !item.Removed:
		return "read from the store: zone is evacuated", true
	default:
		return "", false
	}
}
