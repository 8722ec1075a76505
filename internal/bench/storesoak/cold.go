package storesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// coldRatePerSecond is the rate that the configuration declares for a cold instance. The
	// instance fails above coldOverloadPerSecond, which leaves room for what nodes may send
	// beyond the declared rate with their default settings.
	coldRatePerSecond, coldOverloadPerSecond = 4, 8
	// coldStartDuration is how long an instance stays cold.
	coldStartDuration = 3 * time.Second
	// coldSlackPerSecond is what nodes may send beyond the declared rate where instances turn cold while they
	// run: as much as the instances can serve.
	coldSlackPerSecond = coldOverloadPerSecond - coldRatePerSecond
	// shortestCold and longestCold bound how long an instance that has turned cold stays so, latestEntry how
	// late its entry may say so.
	shortestCold, longestCold = time.Second, coldStartDuration
	latestEntry               = 4 * time.Second
)

// kindsBeforeColdStart is how many kinds of faults precede cold instances. Regressions with
// at most that many run without cold start rates, as they did when they were recorded.
const kindsBeforeColdStart = 20

// replaceByColdInstance drains an instance and starts a cold one at its address.
func replaceByColdInstance(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "replace an instance with a cold one", machines: []int{m.number},
		begin: func(context.Context) error { m.replacing.Lock(); f.drain(m); return nil },
		undo:  func(context.Context) error { return f.finishReplacement(m, coldStartDuration) },
	}
}

// coldNodeFlags returns the further flags of nodes whose instances turn cold while they run.
func (c *catalog) coldNodeFlags() []string {
	if c.healthPath == "" {
		return nil
	}
	return []string{fmt.Sprintf("--inbound.cold_slack=%d", coldSlackPerSecond)}
}

// turnInstancesCold makes instances cold while they run, at an average of rate per second until the context ends.
func (s *soak) turnInstancesCold(ctx context.Context, rate float64) {
	const stream = 6 // independent of the other draws
	random := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed+stream))
	var turning sync.WaitGroup
	defer turning.Wait()
	for wait.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) == nil {
		m := randomMachine(random, s.fleet)
		coldFor := shortestCold + time.Duration(random.Int64N(int64(longestCold-shortestCold)+1))
		notice, delay := entryNotice(random.IntN(3)), time.Duration(random.Int64N(int64(latestEntry)))
		if m.service == serviceFront || !m.replacing.TryLock() {
			continue
		}
		s.report.ColdTurns++
		turning.Go(func() {
			defer m.replacing.Unlock()
			s.turnCold(ctx, m, coldFor, notice, delay)
		})
	}
}

// entryNotice is when the entry of an instance says that it has turned cold.
type entryNotice int

// The notices.
const (
	noticeAtOnce entryNotice = 0
	noticeLate   entryNotice = 1
	noticeNever  entryNotice = 2
)

// turnCold makes an instance cold for a duration. A late entry is written after the delay and states what remained
// when the instance turned cold, and is followed by one that says it is warm.
func (s *soak) turnCold(ctx context.Context, m *machine, coldFor time.Duration, notice entryNotice, delay time.Duration) {
	m.current().TurnCold(coldFor)
	register := func(remaining time.Duration) {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		s.fleet.register(m, store.StateReady, remaining)
	}
	switch notice {
	case noticeAtOnce:
		register(coldFor)
		_ = wait.For(ctx, coldFor)
		register(0)
	case noticeLate:
		_ = wait.For(ctx, delay)
		register(coldFor)
		_ = wait.For(ctx, coldFor)
		register(0)
	default:
		_ = wait.For(ctx, coldFor)
	}
}

// checkColdInstances reports the instances that were overloaded while they were cold.
func (s *soak) checkColdInstances() {
	for _, m := range s.fleet.machines {
		for _, emulated := range m.instances() {
			most := emulated.MostWhileCold()
			s.report.MostWhileCold = max(s.report.MostWhileCold, most)
			if most > coldOverloadPerSecond {
				s.report.ColdOverloads++
				s.violation("%s began %d requests within a second after it had turned cold, %d allowed", emulated.Name, most, coldOverloadPerSecond)
			}
			if emulated.Overloaded() {
				s.report.ColdOverloads++
				s.violation("%s received more than %d requests within a second while it was cold", emulated.Name, coldOverloadPerSecond)
			}
		}
	}
}
