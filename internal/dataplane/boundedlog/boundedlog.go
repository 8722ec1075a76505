// Package boundedlog bounds how many lines about requests a process writes, so
// that a busy node neither fills its log nor waits for it.
package boundedlog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// How many lines a second are written. What is left out is counted and told with
// the next line.
const (
	FailureLines = 20
	SuccessLines = 2
)

// Lines gives out lines. It is safe for concurrent use.
type Lines struct {
	logger logrus.FieldLogger
	now    func() time.Time

	mutex     sync.Mutex
	second    time.Time
	failures  int
	successes int
	omitted   int
}

// New returns Lines that are written by the logger.
func New(logger logrus.FieldLogger) *Lines { return &Lines{logger: logger, now: time.Now} }

// Take reserves a line. The entry tells how many were left out before it.
func (l *Lines) Take(failed bool) (entry logrus.FieldLogger, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := l.now(); now.Sub(l.second) >= time.Second {
		l.second, l.failures, l.successes = now, 0, 0
	}
	used, most := &l.successes, SuccessLines
	if failed {
		used, most = &l.failures, FailureLines
	}
	if *used >= most {
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
