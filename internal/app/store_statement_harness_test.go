package app

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// What users require of stated limits, see limitJudge.
const (
	limitWindow = 4 * time.Second
	// limitGrace is the time from the first answer with the limit until the limit binds.
	limitGrace = 3 * time.Second
	// limitHearing is the time from when a node has passed such an answer on until its requests count.
	limitHearing = 500 * time.Millisecond
	// Most requests in a window: limitFactor times the limit plus limitSlack, of which tests allow
	// limitTarget.
	limitFactor, limitSlack, limitTarget = 1.5, 5, 0.9
)

// limitJudge records which requests reach an instance that states a limit, and from which machines, and
// which machines have passed the limit on to a caller.
type limitJudge struct {
	// instance is the name of the instance.
	instance string

	mutex      sync.Mutex
	statedAt   time.Time
	passedOnAt map[int]time.Time
	arrivals   []limitArrival
}

// limitArrival is a request that reached the instance, with the machine where it began.
type limitArrival struct {
	at      time.Time
	machine int
}

// requestID returns the id of a request that begins at a machine, so that machineOf can tell.
func requestID(machine, number int) string { return fmt.Sprintf("%d-%d", machine, number) }

func machineOf(id string) (machine int) {
	_, _ = fmt.Sscanf(id, "%d-", &machine)
	return machine
}

// arrived records a request that reached the instance.
func (j *limitJudge) arrived(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.arrivals = append(j.arrivals, limitArrival{time.Now(), machineOf(id)})
}

// passedOn records an answer that a machine passed on to a caller.
func (j *limitJudge) passedOn(machine int, got answer) {
	if got.header.Get(instance.HeaderStamp) != j.instance || got.header.Get(instance.HeaderLimit) == "" {
		return
	}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.statedAt.IsZero() {
		j.statedAt, j.passedOnAt = time.Now(), make(map[int]time.Time)
	}
	if _, known := j.passedOnAt[machine]; !known {
		j.passedOnAt[machine] = time.Now()
	}
}

// worst returns the most requests that reached the instance in any window that ends after limitGrace,
// from machines that had passed the limit on limitHearing before.
func (j *limitJudge) worst() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	most := 0
	var counted []time.Time
	for _, each := range j.arrivals {
		passedOn, known := j.passedOnAt[each.machine]
		if !known || each.at.Before(passedOn.Add(limitHearing)) {
			continue
		}
		counted = append(counted, each.at)
		for each.at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		if each.at.Sub(j.statedAt) >= limitGrace {
			most = max(most, len(counted))
		}
	}
	return most
}

// allowedIn returns the most requests that tests allow in a window.
func allowedIn(perSecond float64) int {
	return int(limitTarget * (limitFactor*perSecond*limitWindow.Seconds() + limitSlack))
}

// statementLoad is a load on some machines while instances state limits, or that they leave.
type statementLoad struct {
	r        *storeHarness
	senders  []int
	interval time.Duration
	// deadline is what callers send, in milliseconds.
	deadline string
	// judges are those of the instances, by machine.
	judges map[int]*limitJudge
	// leaving is the judge of an instance that leaves, if there is one.
	leaving *leavingJudge

	mutex    sync.Mutex
	statuses map[int]int
	latency  map[int][]time.Duration // by status
}

// run sends a request each interval to each sender, for a duration.
func (l *statementLoad) run(duration time.Duration) {
	l.statuses, l.latency = make(map[int]int), make(map[int][]time.Duration)
	var sending sync.WaitGroup
	for _, sender := range l.senders {
		sending.Go(func() {
			ticker := time.NewTicker(l.interval)
			defer ticker.Stop()
			number := 0
			for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
				id := requestID(sender, number)
				number++
				sending.Go(func() { l.send(sender, id) })
			}
		})
	}
	sending.Wait()
}

func (l *statementLoad) send(sender int, id string) {
	began := time.Now()
	if l.leaving != nil {
		l.leaving.began(id)
	}
	got := l.r.send(sender, http.MethodGet, "/read/x", id, instance.HeaderDeadline, l.deadline)
	if l.leaving != nil {
		l.leaving.ended(id, got)
	}
	for _, judge := range l.judges {
		judge.passedOn(sender, got)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.statuses[got.status]++
	l.latency[got.status] = append(l.latency[got.status], time.Since(began))
}

// limitedWork is how long a request takes: long enough for the load of an instance to matter.
const limitedWork = 20 * time.Millisecond

// workFor returns work that takes a duration, or until the client disconnects.
func workFor(duration time.Duration) func(string, <-chan struct{}) {
	return func(_ string, gone <-chan struct{}) {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-gone:
		}
	}
}

// median returns the median time until an answer with a status came; zero: there was none.
func (l *statementLoad) median(status int) time.Duration {
	latencies := slices.Sorted(slices.Values(l.latency[status]))
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)/2]
}

// newStatementLoad starts machines of the services, of which the first ones send every interval, and waits
// until a configuration is in force.
func newStatementLoad(t *testing.T, services []string, interval time.Duration) *statementLoad {
	load := &statementLoad{interval: interval, deadline: "60000", judges: make(map[int]*limitJudge)}
	load.r = newStoreHarness(t, services, func(index int, emulated *instance.Instance) {
		if services[index] == "front" {
			load.senders = append(load.senders, index)
			return
		}
		judge := &limitJudge{instance: emulated.Name}
		load.judges[index] = judge
		emulated.OnArrival = judge.arrived
		emulated.Work = workFor(limitedWork)
	})
	load.r.startAll()
	load.configure(2, strings.NewReplacer())
	return load
}

// configure puts a configuration into force.
func (l *statementLoad) configure(version int, edits *strings.Replacer) {
	text := edits.Replace(fmt.Sprintf(configurationOf, version, ""))
	l.r.awaitRevision(snapshot.Revision(l.r.store.Put("op/config", []byte(text))))
}

// setLatencyTarget puts a configuration with a latency target of half a second into force, so that
// requests that cannot be served soon are refused.
func (l *statementLoad) setLatencyTarget() {
	l.configure(3, strings.NewReplacer(`"targetLatencyMs":20000`, `"targetLatencyMs":500`, `"timeoutMs":30000`, `"timeoutMs":1500`))
	l.deadline = "1200"
}

// state makes the instance of a machine state a limit.
func (l *statementLoad) state(index int, perSecond float64) {
	l.r.machines[index].instance.SetStatement(instance.LimitLine(perSecond))
}

// restart ends the node of a machine and starts a new process of it.
func (l *statementLoad) restart(index int) {
	l.r.c.Check(l.r.machines[index].stop(), qt.IsNil)
	l.r.start(index, l.r.url)
	<-l.r.machines[index].node.Ready()
}

// checkBound checks that an instance did not get more requests than its limit allows.
func (l *statementLoad) checkBound(index int, perSecond float64) {
	l.r.c.Helper()
	most := l.judges[index].worst()
	l.r.c.Logf("limit %v: %d requests in the worst window, %d allowed; statuses %v; median time of a 200 %s, of a 503 %s",
		perSecond, most, allowedIn(perSecond), l.statuses, l.median(http.StatusOK), l.median(http.StatusServiceUnavailable))
	l.r.c.Check(most > 0, qt.IsTrue)
	l.r.c.Check(most <= allowedIn(perSecond), qt.IsTrue, qt.Commentf("%d requests in %s, allowed are %d", most, limitWindow, allowedIn(perSecond)))
}
