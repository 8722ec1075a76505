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
	// collectTime is how long requests that break off are collected after the end of the
	// instance was found: all of its connections end within a few milliseconds.
	collectTime = 20 * time.Millisecond
	// abandonedMemory is how long a request that was given up still counts as in progress:
	// the instance may work on for a while.
	abandonedMemory = time.Second
	// maxAbandoned bounds those that are remembered.
	maxAbandoned = 64
)

// runInProgress is one request that the instance worked on.
type runInProgress struct {
	fingerprint suspects.Fingerprint
	// probe says that it was sent under suspicion.
	probe bool
	// id, method and target are for logs.
	id, method, target string
	instance           string
	givenUpAt          time.Time // zero: its connection broke
}

// crashWatch tells the crash of the instance from the loss of one connection: after a crash
// nothing listens at the instance's address. Node and instance share a machine, so that no
// network lies between them.
type crashWatch struct {
	isGone func() bool
	// crashed takes the requests that were in progress.
	crashed func(runs []runInProgress)

	mutex sync.Mutex
	// check is the one in progress, nil for none.
	check     *crashCheck
	abandoned []runInProgress
}

// crashCheck finds out whether the instance crashed.
type crashCheck struct {
	done  chan struct{}
	runs  []runInProgress
	ended bool
}

// broken takes a request whose connection broke, and reports whether the instance crashed.
func (w *crashWatch) broken(run runInProgress) bool {
	w.mutex.Lock()
	check := w.check
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		w.check = check
		go w.run(check)
	}
	check.runs = append(check.runs, run)
	w.mutex.Unlock()
	<-check.done
	return check.ended
}

// run makes the check and tells of the crash before anybody who waits for it goes on.
func (w *crashWatch) run(check *crashCheck) {
	defer close(check.done)
	ended := w.isGone()
	if ended {
		time.Sleep(collectTime)
	}
	w.mutex.Lock()
	w.check = nil
	check.ended = ended
	runs := check.runs
	if ended {
		runs = append(runs, w.recentlyAbandoned(time.Now())...)
		w.abandoned = nil
	}
	w.mutex.Unlock()
	if ended {
		w.crashed(runs)
	}
}

// givenUp notes a request that was given up while the instance worked on it.
func (w *crashWatch) givenUp(run runInProgress, now time.Time) {
	run.givenUpAt = now
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.abandoned = append(w.recentlyAbandoned(now), run)
	if len(w.abandoned) > maxAbandoned {
		w.abandoned = w.abandoned[1:]
	}
}

// recentlyAbandoned returns what was given up a short while ago. The mutex is held.
func (w *crashWatch) recentlyAbandoned(now time.Time) []runInProgress {
	for len(w.abandoned) > 0 && now.Sub(w.abandoned[0].givenUpAt) > abandonedMemory {
		w.abandoned = w.abandoned[1:]
	}
	return w.abandoned
}

// inProgress describes a request to the instance.
func inProgress(request *message.Request, order hop.Order) runInProgress {
	return runInProgress{
		fingerprint: contentOf(request), probe: order.Suspected,
		id: request.ID, method: request.Method, target: request.Target, instance: order.Instance,
	}
}

func contentOf(request *message.Request) suspects.Fingerprint {
	return suspects.Of(request.Method, request.Host, request.Target, request.Body)
}

// maxLoggedRuns bounds the requests that the line about a crash names.
const maxLoggedRuns = 32

// crashed notes the crash of the instance with the requests that were in progress, and logs it.
func (p *Proxy) crashed(runs []runInProgress) {
	p.metrics.crashes.Inc()
	running := make([]suspects.InProgress, len(runs))
	for i, run := range runs {
		running[i] = suspects.InProgress{Fingerprint: run.fingerprint, Probe: run.probe}
	}
	p.options.Suspects.Crashed(runs[0].instance, running)
	named := make([]string, 0, min(len(runs), maxLoggedRuns))
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		named = append(named, run.id+" "+run.method+" "+run.target+" "+run.fingerprint.String())
	}
	p.options.Logger.WithFields(logrus.Fields{
		"instance": runs[0].instance, "service": p.options.Service, "in_progress": len(runs), "requests": named,
	}).Warn("the instance crashed while it worked on requests")
}
