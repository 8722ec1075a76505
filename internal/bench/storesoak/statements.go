package storesoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// shortestStatement and longestStatement bound how long an instance states a limit, and how long one
	// goes on serving that states that it leaves.
	shortestStatement, longestStatement = 4 * time.Second, 9 * time.Second
	// maxStatingShare bounds the share of machines whose instances state something at the same time.
	maxStatingShare = 0.35
)

// soakLimits are the limits that instances state, in requests per second.
var soakLimits = []float64{0, 0.3, 1, 2, 5, 12, 60}

// statedPeriod is the time for which a process of an instance stated limits without a break.
type statedPeriod struct {
	instance string
	// limits are in order of time; the first one begins the period.
	limits []limitAt
	// until is when the period ended; zero: it has not.
	until time.Time
}

// limitAt is a limit that an instance stated from a time on.
type limitAt struct {
	at        time.Time
	perSecond float64
}

// statedLeaving is the leaving of an instance that its answers stated.
type statedLeaving struct {
	instance string
	at       time.Time
	// until is when the process ended; zero: it has not.
	until time.Time
}

// statedAnswer is what an answer stated that a machine passed on.
type statedAnswer struct {
	instance         string
	limited, leaving bool
	at               time.Time
}

// newStatedAnswer returns what an answer that has just been received states.
func newStatedAnswer(header http.Header) statedAnswer {
	return statedAnswer{
		instance: header.Get(instance.HeaderStamp), at: time.Now(),
		limited: header.Get(instance.HeaderLimit) != "", leaving: header.Get(instance.HeaderLeaving) != "",
	}
}

// statements are what instances stated about themselves in their answers. It is safe for concurrent use.
type statements struct {
	mutex    sync.Mutex
	periods  []*statedPeriod
	leavings []*statedLeaving
}

// limit records that an instance states a limit from now on.
func (s *statements) limit(name string, perSecond float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stated := limitAt{time.Now(), perSecond}
	for _, each := range s.periods {
		if each.instance == name && each.until.IsZero() {
			each.limits = append(each.limits, stated)
			return
		}
	}
	s.periods = append(s.periods, &statedPeriod{instance: name, limits: []limitAt{stated}})
}

// leave records that an instance states from now on that it leaves.
func (s *statements) leave(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leavings = append(s.leavings, &statedLeaving{instance: name, at: time.Now()})
}

// end records that an instance states nothing more, or that its process ended.
func (s *statements) end(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, each := range s.periods {
		if each.instance == name && each.until.IsZero() {
			each.until = now
		}
	}
	for _, each := range s.leavings {
		if each.instance == name && each.until.IsZero() {
			each.until = now
		}
	}
}

// runStatements lets instances state limits, or that they leave, at an average of rate per second until the
// context ends.
func (s *soak) runStatements(ctx context.Context, rate float64) {
	const stream, leavingOneIn = 5, 3
	random := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed+stream))
	stating := make(chan struct{}, max(int(maxStatingShare*float64(len(s.fleet.machines))), 1))
	var running sync.WaitGroup
	defer running.Wait()
	for wait.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) == nil {
		m, leaves := randomMachine(random, s.fleet), random.IntN(leavingOneIn) == 0
		own := rand.New(rand.NewPCG(random.Uint64(), stream))
		if m.service == serviceFront || !m.replacing.TryLock() {
			continue
		}
		stating <- struct{}{}
		running.Go(func() {
			defer func() { <-stating }()
			if leaves {
				s.leaveByAnswers(ctx, m, own)
				return
			}
			s.limitByAnswers(ctx, m, own)
		})
	}
}

// limitByAnswers lets the instance of a machine state a limit, and in most cases others in turn, of which
// some are a tenth of the one before. The caller has locked m.replacing, which is unlocked at the end.
func (s *soak) limitByAnswers(ctx context.Context, m *machine, random *rand.Rand) {
	const mostChanges, tenthOneIn = 4, 3
	defer m.replacing.Unlock()
	stating := m.current()
	perSecond := soakLimits[random.IntN(len(soakLimits))]
	for range 1 + random.IntN(mostChanges) {
		s.fleet.statements.limit(stating.Name, perSecond)
		stating.SetStatement(instance.LimitLine(perSecond))
		if s.waitBetween(ctx, random, shortestStatement, longestStatement) != nil {
			break
		}
		if random.IntN(tenthOneIn) == 0 {
			perSecond /= 10
		} else {
			perSecond = soakLimits[random.IntN(len(soakLimits))]
		}
	}
	s.fleet.statements.end(stating.Name)
	stating.SetStatement("")
}

// leaveByAnswers lets the instance of a machine state that it leaves, while the store lists it as ready or
// draining, and replaces it. The caller has locked m.replacing, which is unlocked at the end.
func (s *soak) leaveByAnswers(ctx context.Context, m *machine, random *rand.Rand) {
	const writtenOneIn = 3
	leaving := m.current()
	s.fleet.statements.leave(leaving.Name)
	leaving.SetStatement(instance.LeavingLine)
	_ = s.waitBetween(ctx, random, shortestStatement/2, longestStatement/2) // at the end it is replaced at once
	if random.IntN(writtenOneIn) == 0 {
		m.mutex.Lock()
		s.fleet.register(m, store.StateReady, 0)
		m.mutex.Unlock()
		_ = s.waitBetween(ctx, random, shortestStatement/2, longestStatement/2)
	}
	s.fleet.statements.end(leaving.Name)
	if err := s.fleet.finishReplacement(m, 0); err != nil {
		s.progress("cannot replace an instance that stated that it leaves: %v", err)
	}
}

// waitBetween waits for a random time.
func (s *soak) waitBetween(ctx context.Context, random *rand.Rand, shortest, longest time.Duration) error {
	return wait.For(ctx, shortest+time.Duration(random.Int64N(int64(longest-shortest))))
}
