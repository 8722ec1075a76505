package storesoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// drainTime is how long a draining instance continues to serve.
	drainTime = 2500 * time.Millisecond
	// maxDrainingShare bounds the share of machines whose instances drain at the same time.
	maxDrainingShare = 0.15
)

// deregisterInstance deletes the store entry of an instance that continues to serve, and then
// replaces the instance.
func deregisterInstance(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "deregister an instance that has not drained", machines: []int{m.number}, planned: true,
		begin: func(context.Context) error {
			m.replacing.Lock()
			name := m.current().Name
			f.store.Delete(store.KeyInstances + name)
			f.withdrawals.add("was deleted from the store", name, m.zone)
			return nil
		},
		undo: func(context.Context) error { return f.finishReplacement(m, 0) },
	}
}

// evacuateZone evacuates a zone and later revokes that.
func evacuateZone(random *rand.Rand, f *fleet) fault {
	zone := randomMachine(random, f).zone
	var numbers []int
	for _, m := range f.machines {
		if m.zone == zone {
			numbers = append(numbers, m.number)
		}
	}
	var evacuation *withdrawal
	return fault{
		name: "evacuate " + zone, machines: numbers, planned: true,
		begin: func(context.Context) error {
			f.store.Put(store.KeyEvacuations+zone, []byte("{}"))
			evacuation = f.withdrawals.add("was evacuated with its zone", "", zone)
			return nil
		},
		undo: func(context.Context) error {
			f.store.Delete(store.KeyEvacuations + zone)
			f.withdrawals.revoke(evacuation)
			return nil
		},
	}
}

// finishReplacement closes an instance and starts a new one that is cold for coldFor. It
// unlocks replacing, which the caller has locked.
func (f *fleet) finishReplacement(m *machine, coldFor time.Duration) error {
	defer m.replacing.Unlock()
	gone := m.current()
	gone.Close()
	f.store.Delete(store.KeyInstances + gone.Name)
	return f.newInstance(m, gone.Address, coldFor)
}

// replaceInstances drains and replaces instances at an average of rate per second until the
// context ends.
func (s *soak) replaceInstances(ctx context.Context, rate float64) {
	const stream = 3 // independent of the draws of faults, calls and links
	random := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed+stream))
	maxDraining := max(int(maxDrainingShare*float64(len(s.fleet.machines))), 1)
	draining := make(chan struct{}, maxDraining)
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for wait.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) == nil {
		m := randomMachine(random, s.fleet)
		if m.service == serviceFront || !m.replacing.TryLock() {
			continue
		}
		draining <- struct{}{}
		leaving.Go(func() {
			defer func() { <-draining }()
			s.fleet.drain(m)
			_ = wait.For(ctx, drainTime) // at the end of the soak the instance is replaced at once
			if err := s.fleet.finishReplacement(m, 0); err != nil {
				s.progress("cannot replace a drained instance: %v", err)
			}
		})
	}
}
