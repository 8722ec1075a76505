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
	// leaveTime is how long an instance that leaves serves on.
	leaveTime = 2500 * time.Millisecond
	// leavingShare of the machines have an instance that leaves at one time, at most.
	leavingShare = 0.15
)

// leaveSilently ends the entry of an instance that serves on, and has another one take its
// place.
func leaveSilently(random *rand.Rand, f *fleet) fault {
	m := oneOf(random, f)
	return fault{
		name: "an instance leaves without a word", machines: []int{m.number}, planned: true,
		begin: func(context.Context) error {
			m.replacing.Lock()
			name := m.current().Name
			f.store.Delete(store.KeyInstances + name)
			f.endings.note("was gone from the store", name, m.zone)
			return nil
		},
		undo: func(context.Context) error { return f.endReplacement(m, 0) },
	}
}

// evacuateZone empties a zone and takes that back.
func evacuateZone(random *rand.Rand, f *fleet) fault {
	zone := oneOf(random, f).zone
	var numbers []int
	for _, m := range f.machines {
		if m.zone == zone {
			numbers = append(numbers, m.number)
		}
	}
	var noted *ending
	return fault{
		name: "evacuate " + zone, machines: numbers, planned: true,
		begin: func(context.Context) error {
			f.store.Put(store.KeyEvacuations+zone, []byte("{}"))
			noted = f.endings.note("was to be evacuated", "", zone)
			return nil
		},
		undo: func(context.Context) error {
			f.store.Delete(store.KeyEvacuations + zone)
			f.endings.takeBack(noted)
			return nil
		},
	}
}

// endReplacement replaces an instance by one that is cold for so long. What replaces it next
// may begin then.
func (f *fleet) endReplacement(m *machine, coldFor time.Duration) error {
	defer m.replacing.Unlock()
	gone := m.current()
	gone.Close()
	f.store.Delete(store.KeyInstances + gone.Name)
	return f.newInstance(m, gone.Address, coldFor)
}

// runLeaving has instances leave one after the other, about rate a second, and others take
// their places, until the context ends.
func (s *soak) runLeaving(ctx context.Context, rate float64) {
	const stream = 3 // apart from the draws of faults, calls and links
	random := rand.New(rand.NewPCG(s.options.Seed, s.options.Seed+stream))
	most := max(int(leavingShare*float64(len(s.fleet.machines))), 1)
	places := make(chan struct{}, most)
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for wait.For(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second))) == nil {
		m := oneOf(random, s.fleet)
		if m.service == serviceFront || !m.replacing.TryLock() {
			continue
		}
		places <- struct{}{}
		leaving.Go(func() {
			defer func() { <-places }()
			s.fleet.drain(m)
			_ = wait.For(ctx, leaveTime) // at the end of the soak it is replaced at once
			if err := s.fleet.endReplacement(m, 0); err != nil {
				s.progress("an instance that left could not be replaced: %v", err)
			}
		})
	}
}
