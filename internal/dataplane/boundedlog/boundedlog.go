// Package boundedlog limits the rate of log lines about requests, so that a busy sidecar
// neither fills its log nor waits for it.
package boundedlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// The numbers of lines written per second. The lines omitted beyond that are counted, and the
// next line reports their number.
const (
	FailureLines = 20
	SuccessLines = 2
)

// Limiter limits log lines by rate, separately for failures and successes. It is safe for
// concurrent use.
type Limiter struct {
	logger logrus.FieldLogger
	now    func() time.Time

	mutex     sync.Mutex
	second    time.Time
	failures  int
	successes int
	omitted   int
}

// New returns a Limiter for the logger.
func New(logger logrus.FieldLogger) *Limiter { return &Limiter{logger: logger, now: time.Now} }

// Take reserves a line and returns the logger for it, with the number of lines omitted before.
// ok is false when the limit is reached.
func (l *Limiter) Take(failed bool) (entry logrus.FieldLogger, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := l.now(); now.Sub(l.second) >= time.Second {
		l.second, l.failures, l.successes = now, 0, 0
	}
	used, limit := &l.successes, SuccessLines
	if failed {
		used, limit = &l.failures, FailureLines
	}
	if *used >= limit {
		l.omitted++
		return nil, false
	}
	*used++
	if l.omitted == 0 {
		return l.logger, true
	}
	entry, l.omitted = l.logger.WithField("omitted", l.omitted), 0
	return entry, true
}
