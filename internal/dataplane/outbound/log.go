package outbound

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// How many lines a second the log of requests takes. What is left out is counted
// and told with the next line.
const (
	failureLines = 20
	successLines = 2
)

// requestLog writes a line for the end of each request, within its bounds.
type requestLog struct {
	logger logrus.FieldLogger

	mutex     sync.Mutex
	second    time.Time
	failures  int
	successes int
	leftOut   int
}

func newRequestLog(logger logrus.FieldLogger) *requestLog { return &requestLog{logger: logger} }

// take reserves a line. omitted is how many lines were left out before it.
func (l *requestLog) take(failed bool) (omitted int, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now := time.Now(); now.Sub(l.second) >= time.Second {
		l.second, l.failures, l.successes = now, 0, 0
	}
	used, most := &l.successes, successLines
	if failed {
		used, most = &l.failures, failureLines
	}
	if *used >= most {
		l.leftOut++
		return 0, false
	}
	*used++
	omitted, l.leftOut = l.leftOut, 0
	return omitted, true
}

// ended logs the final answer to a request and what decided it.
func (l *requestLog) ended(e *exchange, outcome string, status int, lasted time.Duration) {
	failed := outcome != outcomeAnswered || status >= 500 || e.tries > 1
	omitted, ok := l.take(failed)
	if !ok {
		return
	}
	entry := l.logger.WithFields(logrus.Fields{
		"request": e.request.ID, "route": e.route.Name, "version": e.current.Version().String(),
		"service": e.service, "instance": e.last, "outcome": outcome, "status": status,
		"reason": string(e.reason), "tries": e.tries, "reached": e.reached,
		"ms": lasted.Milliseconds(), "left_ms": time.Until(e.deadline).Milliseconds(), "omitted": omitted,
	})
	if failed {
		entry.Warn("request ended")
		return
	}
	entry.Info("request ended")
}

// noRoute logs a request that no route takes.
func (l *requestLog) noRoute(request *message.Request, current *snapshot.Snapshot) {
	omitted, ok := l.take(true)
	if !ok {
		return
	}
	l.logger.WithFields(logrus.Fields{
		"request": request.ID, "host": request.Host, "path": request.Path,
		"version": current.Version().String(), "omitted": omitted,
	}).Warn("no route takes the request")
}
