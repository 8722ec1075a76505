package inbound

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/suspects"
)

const (
	// crashCollectDelay is how long failing requests are collected after a crash was detected.
	// All connections of a crashed instance end within a few milliseconds.
	crashCollectDelay = 20 * time.Millisecond
	// abandonedTTL is how long an abandoned request still counts as in progress, as the
	// instance may continue to process it for a while.
	abandonedTTL = time.Second
	// maxAbandoned limits the number of abandoned requests that are kept.
	maxAbandoned = 64
)

// runInProgress describes a request that the instance was processing.
type runInProgress struct {
	fingerprint suspects.Fingerprint
	// probe is set if the request was sent as one suspected of crashing instances.
	probe bool
	// id, method and target are only logged.
	id, method, target string
	instance           string
	abandonedAt        time.Time // zero if its connection was lost
}

// crashDetector distinguishes a crash of the instance from the loss of a single connection:
// after a crash nothing listens at the instance's address. Node and instance run on the
// same machine, so a network failure between them is ruled out.
type crashDetector struct {
	isGone func() bool
	// crashed is called with the requests that were in progress at a crash.
	crashed func(runs []runInProgress)

	mutex sync.Mutex
	// check is the check in progress, or nil.
	check     *crashCheck
	abandoned []runInProgress
}

// crashCheck is one check of whether the instance crashed. done is closed at its end.
type crashCheck struct {
	done    chan struct{}
	runs    []runInProgress
	crashed bool
}

// connectionLost reports whether the instance crashed, after the connection of a request
// was lost. Concurrent callers share one check.
func (d *crashDetector) connectionLost(run runInProgress) bool {
	d.mutex.Lock()
	check := d.check
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		d.check = check
		go d.runCheck(check)
	}
	check.runs = append(check.runs, run)
	d.mutex.Unlock()
	<-check.done
	return check.crashed
}

// runCheck performs the check. It reports a crash before any caller that waits for the check
// continues.
func (d *crashDetector) runCheck(check *crashCheck) {
	defer close(check.done)
	crashed := d.isGone()
	if crashed {
		time.Sleep(crashCollectDelay)
	}
	d.mutex.Lock()
	d.check = nil
	check.crashed = crashed
	runs := check.runs
	if crashed {
		runs = append(runs, d.recentlyAbandoned(time.Now())...)
		d.abandoned = nil
	}
	d.mutex.Unlock()
	if crashed {
		d.crashed(runs)
	}
}

// noteAbandoned records a request that was abandoned while the instance processed it.
func (d *crashDetector) noteAbandoned(run runInProgress, now time.Time) {
	run.abandonedAt = now
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.abandoned = append(d.recentlyAbandoned(now), run)
	if len(d.abandoned) > maxAbandoned {
		d.abandoned = d.abandoned[1:]
	}
}

// recentlyAbandoned drops expired entries and returns the remaining ones. The caller must
// hold the mutex.
func (d *crashDetector) recentlyAbandoned(now time.Time) []runInProgress {
	for len(d.abandoned) > 0 && now.Sub(d.abandoned[0].abandonedAt) > abandonedTTL {
		d.abandoned = d.abandoned[1:]
	}
	return d.abandoned
}

// newRunInProgress describes a request to the instance.
func newRunInProgress(request *message.Request, order hop.Order) runInProgress {
	return runInProgress{
		fingerprint: fingerprintOf(request), probe: order.Suspected,
		id: request.ID, method: request.Method, target: request.Target, instance: order.Instance,
	}
}

func fingerprintOf(request *message.Request) suspects.Fingerprint {
	return suspects.NewFingerprint(request.Method, request.Host, request.Target, request.Body)
}

// maxLoggedRuns limits the number of requests in the log message about a crash.
const maxLoggedRuns = 32

// crashed records and logs a crash of the instance with the requests that were in progress.
func (p *Proxy) crashed(runs []runInProgress) {
	p.metrics.crashes.Inc()
	p.load.crashed()
	running := make([]suspects.InProgress, len(runs))
	for i, run := range runs {
		running[i] = suspects.InProgress{Fingerprint: run.fingerprint, Probe: run.probe}
	}
	p.options.Suspects.Crashed(runs[0].instance, running)
	requests := make([]string, 0, min(len(runs), maxLoggedRuns))
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		requests = append(requests, run.id+" "+run.method+" "+run.target+" "+run.fingerprint.String())
	}
	p.options.Logger.WithFields(logrus.Fields{
		"instance": runs[0].instance, "service": p.options.Service, "in_progress": len(runs), "requests": requests,
	}).Warn("instance crashed while processing requests")
}
