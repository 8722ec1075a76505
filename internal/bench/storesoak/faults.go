package storesoak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

// fault is one fault to inject: begin causes it and undo removes it.
type fault struct {
	name string
	// machines are the numbers of the affected machines.
	machines []int
	// planned marks planned maintenance, which must not fail any request.
	planned bool
	// impaired are the machines whose process or links are disturbed: time bounds do not
	// apply to them during the fault.
	impaired []int
	// ofProcess is set if the processes of the impaired machines are stopped, killed or paused.
	ofProcess bool
	// storeState is the state of the store during the fault.
	storeState storeState
	// duration is the minimum time for which it lasts; zero: as drawn.
	duration time.Duration
	begin    func(ctx context.Context) error
	undo     func(ctx context.Context) error
}

// faultGenerator draws the targets of one kind of fault and returns the fault.
type faultGenerator func(random *rand.Rand, f *fleet) fault

// faultGenerators are all kinds of faults, drawn with equal probability. New kinds go to the
// end: regressions are replayed from their seed and the number of kinds of their time.
var faultGenerators = []faultGenerator{
	killNodes, killManyNodes, pauseNodes, stopNode, storeDown, storeRefusesSome, storeRefusesReaders, compactHistory,
	replaceInstance, crashInstance, corruptResponses, forgetConnections, hangInstance,
	linkFault("connection reset before the request arrives", faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}),
	linkFault("connection reset after the request was sent", faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	linkFault("connection closed in the middle of a response", faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: 300}),
	linkFault("responses stalled", faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsClient}),
	linkFault("slow", faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.TowardsServer, Delay: 100 * time.Millisecond}),
	cutFromPeers, rejectAtAllInstances, silenceConnections, replaceByColdInstance,
	deregisterInstance, evacuateZone, restoreStore,
}

// randomMachines draws the numbers of count distinct machines.
func randomMachines(random *rand.Rand, f *fleet, count int) []int {
	return random.Perm(len(f.machines))[:count]
}

func randomMachine(random *rand.Rand, f *fleet) *machine {
	return f.machines[random.IntN(len(f.machines))]
}

// forAll calls act for each machine by number and stops at the first error.
func (f *fleet) forAll(numbers []int, act func(m *machine) error) error {
	for _, number := range numbers {
		if err := act(f.machines[number]); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) killAndRestart(name string, numbers []int) fault {
	return fault{
		name: name, machines: numbers, impaired: numbers, ofProcess: true,
		begin: func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error { return m.process.Kill() })
		},
		undo: func(ctx context.Context) error {
			if err := f.forAll(numbers, (*machine).start); err != nil {
				return err
			}
			return f.forAll(numbers, func(m *machine) error { return m.awaitReady(ctx) })
		},
	}
}

func killNodes(random *rand.Rand, f *fleet) fault {
	return f.killAndRestart("kill nodes", randomMachines(random, f, 1+random.IntN(2)))
}

func killManyNodes(random *rand.Rand, f *fleet) fault {
	return f.killAndRestart("kill at least half of the nodes", randomMachines(random, f, len(f.machines)/2+random.IntN(len(f.machines)/2+1)))
}

func pauseNodes(random *rand.Rand, f *fleet) fault {
	numbers := randomMachines(random, f, 1+random.IntN(2))
	return fault{
		name: "pause nodes", machines: numbers, impaired: numbers, ofProcess: true,
		begin: func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error { return m.process.Pause() })
		},
		undo: func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error { return m.process.Resume() })
		},
	}
}

// stopNode stops a node gracefully and starts it again.
func stopNode(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "stop a node gracefully", machines: []int{m.number}, impaired: []int{m.number}, ofProcess: true, planned: true,
		begin: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, drainGrace+time.Second)
			defer cancel()
			return m.process.Stop(ctx)
		},
		undo: func(ctx context.Context) error {
			if err := m.start(); err != nil {
				return err
			}
			return m.awaitReady(ctx)
		},
	}
}

// compactHistory compacts the store's history while an instance is being replaced.
func compactHistory(random *rand.Rand, f *fleet) fault {
	replacement := replaceInstance(random, f)
	beginReplacement := replacement.begin
	replacement.name = "the store compacts its history while an instance drains"
	replacement.begin = func(ctx context.Context) error {
		if err := beginReplacement(ctx); err != nil {
			return err
		}
		f.store.Compact()
		return nil
	}
	return replacement
}

// replaceInstance drains an instance and replaces it with a new one at the same address.
func replaceInstance(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "replace an instance", machines: []int{m.number}, planned: true,
		begin: func(context.Context) error { m.replacing.Lock(); f.drain(m); return nil },
		undo:  func(context.Context) error { return f.finishReplacement(m, 0) },
	}
}

// crashInstance ends an instance without notice; a new one takes its address while the
// store still lists the old one.
func crashInstance(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "crash an instance", machines: []int{m.number},
		begin: func(context.Context) error { m.replacing.Lock(); m.current().Close(); return nil },
		undo: func(context.Context) error {
			defer m.replacing.Unlock()
			gone := m.current()
			if err := f.newInstance(m, gone.Address, 0); err != nil {
				return err
			}
			f.store.Delete(store.KeyInstances + gone.Name)
			return nil
		},
	}
}

// corruptResponses makes an instance drop, truncate or mix up one in four of its responses.
func corruptResponses(random *rand.Rand, f *fleet) fault {
	kinds := []instance.Fault{
		instance.Lost, instance.LostReset, instance.Cut, instance.Unframed, instance.UnframedReset, instance.Extra,
		instance.Late, instance.Garbage, instance.NoStamp, instance.Reject, instance.OtherInstance, instance.Fails,
		instance.CloseAfter,
	}
	const oneIn = 4
	m, seed := randomMachine(random, f), random.IntN(oneIn)
	chosen := kinds[random.IntN(len(kinds))]
	return fault{
		name: "corrupt responses, instance fault " + strconv.Itoa(int(chosen)), machines: []int{m.number},
		begin: func(context.Context) error {
			m.current().SetPlan(func(id string) instance.Fault {
				if len(id) > 0 && (int(id[len(id)-1])+seed)%oneIn == 0 {
					return chosen
				}
				return instance.None
			})
			return nil
		},
		undo: func(context.Context) error { m.current().SetPlan(nil); return nil },
	}
}

// rejectAtAllInstances makes all instances of a service reject 11 of 20 requests.
func rejectAtAllInstances(random *rand.Rand, f *fleet) fault {
	const rejected, of = 11, 20
	service := []string{serviceRead, serviceWrite}[random.IntN(2)]
	var numbers []int
	for _, m := range f.machines {
		if m.service == service {
			numbers = append(numbers, m.number)
		}
	}
	var count atomic.Int64
	set := func(plan func(string) instance.Fault) func(context.Context) error {
		return func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error { m.current().SetPlan(plan); return nil })
		}
	}
	return fault{
		name: "requests rejected by all instances of " + service, machines: numbers,
		begin: set(func(string) instance.Fault {
			if count.Add(1)*7%of < rejected {
				return instance.Reject
			}
			return instance.None
		}),
		undo: set(nil),
	}
}

func forgetConnections(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	forget := func(context.Context) error { m.current().ForgetConnections(); return nil }
	return fault{name: "forget connections", machines: []int{m.number}, begin: forget, undo: forget}
}

// hangInstance makes an instance accept requests and never respond.
func hangInstance(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "hang", machines: []int{m.number},
		begin: func(context.Context) error {
			m.current().SetPlan(func(string) instance.Fault { return instance.Hangs })
			return nil
		},
		undo: func(context.Context) error { m.current().SetPlan(nil); return nil },
	}
}

// linkFault injects a proxy fault into the data link of a machine, over which other nodes
// send it requests.
func linkFault(name string, injected faultproxy.Fault) faultGenerator {
	return func(random *rand.Rand, f *fleet) fault {
		m := randomMachine(random, f)
		return fault{
			name: "between nodes: " + name, machines: []int{m.number}, impaired: []int{m.number},
			begin: func(context.Context) error { return m.data.Inject(injected) },
			undo:  func(ctx context.Context) error { return m.data.heal(ctx) },
		}
	}
}

// cutFromPeers stalls all peer links that other nodes opened to some nodes; their access to
// the store stays.
func cutFromPeers(random *rand.Rand, f *fleet) fault {
	numbers := randomMachines(random, f, 1+random.IntN(len(f.machines)/2))
	return fault{
		name: "stalled links from peers", machines: numbers, impaired: numbers,
		begin: func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error {
				for _, way := range bothWays {
					if err := m.peers.Inject(faultproxy.Fault{Kind: faultproxy.Stall, Direction: way}); err != nil {
						return err
					}
				}
				return nil
			})
		},
		undo: func(ctx context.Context) error {
			return f.forAll(numbers, func(m *machine) error { return m.peers.heal(ctx) })
		},
	}
}

// overlaps reports whether two faults affect a machine in common.
func (f fault) overlaps(other fault) bool {
	return slices.ContainsFunc(f.machines, func(number int) bool { return slices.Contains(other.machines, number) })
}
