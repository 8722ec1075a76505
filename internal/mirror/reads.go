package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// Names of the store calls in logs.
const (
	callList             = "list"
	callSample           = "sample"
	callWatch            = "watch"
	callWatchInstances   = "watch instances"
	callWatchEvacuations = "watch evacuations"
)

// call returns the name of a watch of the scope.
func (s Scope) call() string {
	switch s {
	case ScopeInstances:
		return callWatchInstances
	case ScopeEvacuations:
		return callWatchEvacuations
	default:
		return callWatch
	}
}

// storeRead describes a completed call to the store.
type storeRead struct {
	call      string
	after     snapshot.Revision
	wait      time.Duration
	startedAt time.Time
	items     int
	// at is the revision of the response.
	at snapshot.Revision
}

// failureLogInterval is the minimum time between two log lines about failed reads: readers retry
// up to ten times per second.
const failureLogInterval = time.Second

// readLog logs the reads that failed or returned changes.
type readLog struct {
	// failed counts the failed reads since the last response; suppressed counts those not logged.
	failed, suppressed int
	loggedAt           time.Time
}

// record logs a completed read if it failed, ended a failure or returned changes.
func (l *readLog) record(logger logrus.FieldLogger, done storeRead, outcome source.Outcome, lastAnswerAt, now time.Time) {
	if errors.Is(outcome.Err, context.Canceled) {
		return
	}
	fields := logrus.Fields{
		"call": done.call, "after": done.after.String(), "wait_ms": done.wait.Milliseconds(), "took_ms": now.Sub(done.startedAt).Milliseconds(),
		"bytes": outcome.BytesRead, "items": done.items, "at": done.at.String(),
	}
	if !lastAnswerAt.IsZero() {
		fields["last_answer_ms"] = now.Sub(lastAnswerAt).Milliseconds()
	}
	if succeeded(outcome) {
		l.answered(logger.WithFields(fields), done.items)
		return
	}
	if outcome.Status == source.StatusBacklog {
		logger.WithFields(fields).WithError(outcome.Err).Info("a watch would return a backlog: listing the store instead")
		return
	}
	l.failed++
	if now.Sub(l.loggedAt) < failureLogInterval {
		l.suppressed++
		return
	}
	fields["failed"], fields["left_out"] = l.failed, l.suppressed
	fields["retry_after_ms"] = outcome.RetryAfter.Milliseconds()
	l.suppressed, l.loggedAt = 0, now
	logger.WithFields(fields).WithError(outcome.Err).Warn("a read of the store failed")
}

func (l *readLog) answered(logger logrus.FieldLogger, items int) {
	if l.failed > 0 {
		logger.WithField("failed", l.failed).Info("the store answers again")
	} else if items > 0 {
		logger.Info("changes read from the store")
	}
	*l = readLog{}
}
