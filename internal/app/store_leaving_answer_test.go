package app

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// leavingJudge records which requests reach an instance that states that it leaves, when they began, and
// when each machine first passed that on.
type leavingJudge struct {
	instance string

	mutex      sync.Mutex
	passedOnAt map[int]time.Time
	sentAt     map[string]time.Time
}

// began records that a request begins.
func (j *leavingJudge) began(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.sentAt[id] = time.Now()
}

// ended records the answer to a request.
func (j *leavingJudge) ended(id string, got answer) {
	if got.header.Get(instance.HeaderStamp) != j.instance {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if _, known := j.passedOnAt[machineOf(id)]; !known && got.header.Get(instance.HeaderLeaving) != "" {
		j.passedOnAt[machineOf(id)] = time.Now()
	}
}

// lateRuns counts the runs of requests that began at any machine more than a duration after the machine had
// passed on that the instance leaves.
func (j *leavingJudge) lateRuns(runs []instance.Run, allowed time.Duration) (late int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, run := range runs {
		passedOn, known := j.passedOnAt[machineOf(run.ID)]
		if known && j.sentAt[run.ID].After(passedOn.Add(allowed)) {
			late++
		}
	}
	return late
}

// TestStoreLeavingStatedInAnswers guards against requests to an instance that states in its answers that it
// leaves, while the store still lists it as ready: if only the node beside it knew, a restart of that node
// would let requests through again; if only the node that heard an answer knew, all others would go on.
func TestStoreLeavingStatedInAnswers(t *testing.T) {
	const (
		duration = 5 * time.Second
		interval = 10 * time.Millisecond
		// allowed is how long after an answer was passed on a request may begin that reaches the instance.
		allowed = 300 * time.Millisecond
		leaver  = 3
	)
	for name, row := range map[string]struct{ restart, listAgain bool }{
		"listed as ready":                        {},
		"the node beside the instance restarts":  {restart: true},
		"its entry is written again as ready":    {listAgain: true},
		"restarts while its entry is written on": {restart: true, listAgain: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := newStatementLoad(t, []string{"front", "front", "front", "data", "data", "data"}, interval)
			judge := &leavingJudge{instance: load.r.machines[leaver].instance.Name, passedOnAt: map[int]time.Time{}, sentAt: map[string]time.Time{}}
			load.leaving = judge
			load.r.machines[leaver].instance.SetStatement(instance.LeavingLine)
			disturbed := make(chan struct{})
			time.AfterFunc(duration/2, func() {
				defer close(disturbed)
				if row.restart {
					load.restart(leaver)
				}
				if row.listAgain {
					load.r.put(leaver, "ready")
				}
			})
			load.run(duration)
			<-disturbed
			c := load.r.c
			runs := load.r.machines[leaver].instance.Runs()
			c.Logf("%d requests reached the instance, statuses %v", len(runs), load.statuses)
			c.Check(len(judge.passedOnAt) > 0, qt.IsTrue)
			c.Check(judge.lateRuns(runs, allowed), qt.Equals, 0)
			c.Check(load.statuses[http.StatusOK] > 0, qt.IsTrue)
		})
	}
}

// TestStoreCallersStateNothing checks that the fields of statements, and the one between nodes, change nothing
// in a request: a caller could otherwise shut an instance off from all others.
func TestStoreCallersStateNothing(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data"}, nil)
	r.startAll()
	// With a limit of zero only some five requests could start within the deadline.
	const requests, deadline = 20, "5000"
	statuses := make(chan int, requests)
	for number := range requests {
		go func() {
			statuses <- r.send(0, http.MethodGet, "/read/x", requestID(0, number), instance.HeaderDeadline, deadline,
				instance.HeaderLimit, "0", instance.HeaderLeaving, "1", hop.HeaderLimit, "0").status
		}()
	}
	for range requests {
		r.c.Check(<-statuses, qt.Equals, http.StatusOK)
	}
}

// TestStoreOnlyInstanceLeaves checks that requests are refused at once, with a time to retry, when the only
// instance of a service has stated that it leaves, and served by the next instance.
func TestStoreOnlyInstanceLeaves(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data"}, nil)
	r.startAll()
	r.machines[1].instance.SetStatement(instance.LeavingLine)
	r.c.Check(r.send(0, http.MethodGet, "/read/x", "last").status, qt.Equals, http.StatusOK)
	refused := r.send(0, http.MethodGet, "/read/x", "refused")
	r.c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	r.c.Check(refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	r.c.Check(r.runs("refused"), qt.HasLen, 0)

	former := r.machines[1].instance
	former.Close()
	next := &instance.Instance{Name: "i-next", Address: former.Address}
	_, err := next.Start()
	r.c.Assert(err, qt.IsNil)
	r.c.Cleanup(next.Close)
	r.machines[1].instance = next
	r.store.Delete("servers/" + former.Name)
	r.awaitRevision(r.put(1, "ready"))
	r.c.Check(r.send(0, http.MethodGet, "/read/x", "next").status, qt.Equals, http.StatusOK)
}
