package storesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// crashPrefix is the id prefix of calls that crash the instances that run them.
	crashPrefix = "crash-"
	// crashPath is the last path segment of these calls. It is constant so that all of a kind
	// have the same content, by which nodes recognize them.
	crashPath = "the-one"
	// crashBody is the body of unsafe crashing calls.
	crashBody = "the body"
	// shortestDowntime and longestDowntime bound how long a crashed instance stays down.
	shortestDowntime, longestDowntime = 500 * time.Millisecond, 3 * time.Second
	// maxAfterThirdCrash is how often a request may still reach instances settleTime after it
	// has crashed crashesBefore of them.
	maxAfterThirdCrash, crashesBefore = 3, 3
	// crashRefusalText is part of the refusal of a request that crashes instances.
	crashRefusalText = "it crashes the instances"
)

// enableCrashes makes an instance crash on crashing calls and restart under its name.
func (f *fleet) enableCrashes(emulated *instance.Instance, m *machine) {
	emulated.CrashesOn = func(id string) bool { return strings.HasPrefix(id, crashPrefix) }
	emulated.OnCrash = func() {
		f.statements.end(emulated.Name)
		down := shortestDowntime + time.Duration(rand.Int64N(int64(longestDowntime-shortestDowntime)))
		time.AfterFunc(down, func() { f.restartInstance(emulated, m) })
	}
}

// restartInstance restarts a crashed instance unless it has been replaced.
func (f *fleet) restartInstance(emulated *instance.Instance, m *machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	emulated.SetStatement("")
	if m.instance != emulated || emulated.Restart() != nil {
		return
	}
	m.startedAt = time.Now()
	f.withdrawals.endFor(emulated.Name)
	f.register(m, store.StateReady, 0)
}

// crashKinds are the kinds of crashing calls; all calls of a kind have the same content.
var crashKinds = []callKind{kindRead, kindWrite}

// runCrashingCalls sends crashing calls at an average of rate per second until the context
// ends.
func (c *callers) runCrashingCalls(ctx context.Context, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed+2))
	for number := 1; ; number++ {
		if wait.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) != nil {
			return
		}
		machine := c.fleet.machines[random.IntN(len(c.fleet.machines))]
		planned := &call{
			id: fmt.Sprintf("%s%06d", crashPrefix, number), machine: machine.number, incarnation: machine.incarnation.Load(),
			kind: crashKinds[random.IntN(len(crashKinds))], path: pathRead + crashPath,
		}
		if planned.kind == kindWrite {
			planned.path, planned.body = pathWrite+crashPath, crashBody
		}
		if tenants := c.fleet.catalog.tenants; tenants != nil {
			planned.key = tenants.validKey()
		}
		c.mutex.Lock()
		c.calls = append(c.calls, planned)
		c.mutex.Unlock()
		c.sending.Go(func() { c.send(planned) })
	}
}

func (c *call) crashesInstances() bool { return strings.HasPrefix(c.id, crashPrefix) }

// checkCrashes checks that requests that crash instances are kept from them after
// crashesBefore crashes, and that no other request is refused as one of these.
func (s *soak) checkCrashes(calls []*call, runs map[string][]run) {
	for _, kind := range crashKinds {
		s.checkCrashesOf(kind, calls, runs)
	}
	for _, c := range calls {
		if !c.crashesInstances() && c.status == http.StatusServiceUnavailable && strings.Contains(c.responseBody, crashRefusalText) {
			s.report.WronglyRefused++
			s.violation("%s was refused as a request that crashes instances, which it is not", c.id)
		}
	}
}

func (s *soak) checkCrashesOf(kind callKind, calls []*call, runs map[string][]run) {
	var arrived []run
	sender := make(map[string]int)
	for _, c := range calls {
		if c.crashesInstances() && c.kind == kind {
			sender[c.id] = c.machine
			arrived = append(arrived, runs[c.id]...)
		}
	}
	slices.SortFunc(arrived, func(a, b run) int { return a.Began.Compare(b.Began) })
	s.report.Crashes += len(arrived)
	if len(arrived) <= crashesBefore {
		return
	}
	from, after := arrived[crashesBefore-1].Began.Add(longestWork+settleTime), 0
	for _, each := range arrived[crashesBefore:] {
		since := each.Began.Add(-settleTime)
		unimpaired := !s.history.isImpaired(sender[each.ID], since, each.Began) && !s.history.isImpaired(each.machine.number, since, each.Began)
		if each.Began.After(from) && unimpaired {
			after++
		}
	}
	s.report.AfterThirdCrash = max(s.report.AfterThirdCrash, after)
	if after > maxAfterThirdCrash {
		s.violation("after a request had crashed %d instances it reached instances %d more times, %d in all", crashesBefore, after, len(arrived))
	}
}
