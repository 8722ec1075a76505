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
	// crashPrefix begins the ids of calls that crash the instances which run them.
	crashPrefix = "crash-"
	// crashPath is the rest of their path: they all have the same content.
	crashPath = "the-one"
	// crashBody is the body of those that may run once.
	crashBody = "the body"
	// shortestDown and longestDown bound how long a crashed instance stays away.
	shortestDown, longestDown = 500 * time.Millisecond, 3 * time.Second
	// mostAfterThird is how often such a request may reach instances once it has crashed
	// so many (crashesBefore) and contact has passed.
	mostAfterThird, crashesBefore = 3, 3
	// shutOut is what a refusal says of a request that crashes instances.
	shutOut = "it crashes the instances"
)

// crashable has an instance crash on calls that crash it, and start again under its name.
func (f *fleet) crashable(emulated *instance.Instance, m *machine) {
	emulated.CrashesOn = func(id string) bool { return strings.HasPrefix(id, crashPrefix) }
	emulated.Crashed = func() {
		down := shortestDown + time.Duration(rand.Int64N(int64(longestDown-shortestDown)))
		time.AfterFunc(down, func() { f.startAgain(emulated, m) })
	}
}

// startAgain starts a crashed instance, unless another one has taken its place.
func (f *fleet) startAgain(emulated *instance.Instance, m *machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.instance != emulated || emulated.Restart() != nil {
		return
	}
	m.born = time.Now()
	f.endings.endLife(emulated.Name)
	f.listFor(m, store.StateReady, 0)
}

// crashKinds are the two contents that crash instances.
var crashKinds = []kind{kindRead, kindWrite}

// runCrashing sends about rate calls a second that crash instances, until the context ends.
func (c *callers) runCrashing(ctx context.Context, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed+2))
	for number := 1; ; number++ {
		if wait.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) != nil {
			return
		}
		machine := c.fleet.machines[random.IntN(len(c.fleet.machines))]
		planned := &call{
			id: fmt.Sprintf("%s%06d", crashPrefix, number), machine: machine.number, life: machine.life.Load(),
			kind: crashKinds[random.IntN(len(crashKinds))], path: pathRead + crashPath,
		}
		if planned.kind == kindWrite {
			planned.path, planned.body = pathWrite+crashPath, crashBody
		}
		c.mutex.Lock()
		c.calls = append(c.calls, planned)
		c.mutex.Unlock()
		c.sending.Go(func() { c.send(planned) })
	}
}

func (c *call) crashes() bool { return strings.HasPrefix(c.id, crashPrefix) }

// judgeCrashes counts, for each content that crashes instances, what reached instances once it
// had crashed three, from machines that nothing struck; and the others that were refused as if
// they did.
func (s *soak) judgeCrashes(calls []*call, runs map[string][]run) {
	for _, kind := range crashKinds {
		s.judgeCrashesOf(kind, calls, runs)
	}
	for _, c := range calls {
		if !c.crashes() && c.status == http.StatusServiceUnavailable && strings.Contains(c.answer, shutOut) {
			s.report.ShutOut++
			s.broken("%s was refused as if it crashed instances", c.id)
		}
	}
}

func (s *soak) judgeCrashesOf(kind kind, calls []*call, runs map[string][]run) {
	var arrived []run
	sender := make(map[string]int)
	for _, c := range calls {
		if c.crashes() && c.kind == kind {
			sender[c.id] = c.machine
			arrived = append(arrived, runs[c.id]...)
		}
	}
	slices.SortFunc(arrived, func(a, b run) int { return a.Began.Compare(b.Began) })
	s.report.Crashes += len(arrived)
	if len(arrived) <= crashesBefore {
		return
	}
	from, after := arrived[crashesBefore-1].Began.Add(longestWork+contact), 0
	for _, each := range arrived[crashesBefore:] {
		since := each.Began.Add(-contact)
		inTouch := !s.history.isStruck(sender[each.ID], since, each.Began) && !s.history.isStruck(each.machine.number, since, each.Began)
		if each.Began.After(from) && inTouch {
			after++
		}
	}
	s.report.AfterThirdCrash = max(s.report.AfterThirdCrash, after)
	if after > mostAfterThird {
		s.broken("a request that had crashed %d instances reached instances %d times more, %d in all", crashesBefore, after, len(arrived))
	}
}
