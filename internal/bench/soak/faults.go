package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// injectedFault is one fault with the functions that begin and undo it.
type injectedFault struct {
	name string
	// target is the affected node, empty if there is none. Simultaneous faults have
	// different targets.
	target string
	begin  func(ctx context.Context) error
	undo   func(ctx context.Context) error
}

// faultFactory creates one kind of fault for a mesh, with a random target.
type faultFactory func(random *rand.Rand, running *mesh.Mesh) injectedFault

// faultFactories are all kinds of faults, chosen with equal probability.
var faultFactories = []faultFactory{
	killNode, killBackend, killBoth, pauseNode, stopNode, stopEdge, drainBackend,
	platformOutage, refuseHop,
	hopFault("reset before the request arrives", mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}),
	hopFault("reset after the request was sent", mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	hopFault("cut within the answer", mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutBytes}),
	hopFault("stalled", mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsClient}),
	hopFault("delayed", mesh.HopBackend, faultproxy.Fault{Kind: faultproxy.Delay, Direction: faultproxy.TowardsClient, Delay: linkDelay}),
	hopFault("reset between nodes before the request arrives", mesh.HopData, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsServer}),
	hopFault("reset between nodes after the request was sent", mesh.HopData, faultproxy.Fault{Kind: faultproxy.Reset, Direction: faultproxy.TowardsClient}),
	hopFault("cut between nodes within the answer", mesh.HopData, faultproxy.Fault{Kind: faultproxy.CutAfter, Direction: faultproxy.TowardsClient, Bytes: cutBytes}),
	hopFault("requests stalled between nodes", mesh.HopData, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsServer}),
}

// Parameters of the faults.
const (
	cutBytes  = 700
	linkDelay = 150 * time.Millisecond
	// stopGrace limits how long the soak test waits for a graceful shutdown.
	stopGrace = 45 * time.Second
)

func pickRandom[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func killNode(random *rand.Rand, running *mesh.Mesh) injectedFault {
	node := pickRandom(random, running.Sidecars())
	return injectedFault{
		name: "kill node " + node.Name(), target: node.Name(),
		begin: func(context.Context) error { return node.Kill() },
		undo:  node.Start,
	}
}

func killBackend(random *rand.Rand, running *mesh.Mesh) injectedFault {
	instance := pickRandom(random, running.Backends())
	return injectedFault{
		name: "kill back end " + instance.Node, target: instance.Node,
		begin: func(context.Context) error { instance.Kill(); return nil },
		undo:  func(context.Context) error { return instance.Restart() },
	}
}

func killBoth(random *rand.Rand, running *mesh.Mesh) injectedFault {
	instance := pickRandom(random, running.Backends())
	node := running.Node(instance.Node)
	return injectedFault{
		name: "kill node and back end " + node.Name(), target: node.Name(),
		begin: func(context.Context) error {
			instance.Kill()
			return node.Kill()
		},
		undo: func(ctx context.Context) error {
			if err := instance.Restart(); err != nil {
				return err
			}
			return node.Start(ctx)
		},
	}
}

func pauseNode(random *rand.Rand, running *mesh.Mesh) injectedFault {
	node := pickRandom(random, running.Sidecars())
	return injectedFault{
		name: "pause node " + node.Name(), target: node.Name(),
		begin: func(context.Context) error { return node.Pause() },
		undo:  func(context.Context) error { return node.Resume() },
	}
}

func stopNode(random *rand.Rand, running *mesh.Mesh) injectedFault {
	return plannedStop(running, pickRandom(random, running.Sidecars()))
}

func stopEdge(random *rand.Rand, running *mesh.Mesh) injectedFault {
	return plannedStop(running, pickRandom(random, running.Edges()))
}

func plannedStop(running *mesh.Mesh, node *mesh.Node) injectedFault {
	return injectedFault{
		name: "stop node " + node.Name() + " as planned", target: node.Name(),
		begin: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, stopGrace)
			defer cancel()
			return node.Stop(ctx)
		},
		undo: func(ctx context.Context) error {
			if err := node.Start(ctx); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
			defer cancel()
			return running.AwaitReady(ctx, node)
		},
	}
}

// drainBackend has a backend announce that it is draining, close once its requests
// are finished, and restart.
func drainBackend(random *rand.Rand, running *mesh.Mesh) injectedFault {
	instance := pickRandom(random, running.Backends())
	return injectedFault{
		name: "drain back end " + instance.Node, target: instance.Node,
		begin: func(context.Context) error { instance.Drain(); return nil },
		undo: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, stopGrace)
			defer cancel()
			err := instance.Close(ctx)
			instance.EndDrain()
			return errors.Join(err, instance.Restart())
		},
	}
}

func platformOutage(_ *rand.Rand, running *mesh.Mesh) injectedFault {
	return injectedFault{
		name:  "configuration source down",
		begin: func(context.Context) error { return running.Platform.BeginOutage() },
		undo:  func(context.Context) error { return running.Platform.EndOutage() },
	}
}

func refuseHop(random *rand.Rand, running *mesh.Mesh) injectedFault {
	node := pickRandom(random, running.Sidecars())
	hop := running.Hop(node.Name(), pickRandom(random, []mesh.Hop{mesh.HopBackend, mesh.HopData}))
	return injectedFault{
		name: "refuse connections to " + node.Name(), target: node.Name(),
		begin: func(context.Context) error { hop.Refuse(); return nil },
		undo:  func(context.Context) error { return hop.Accept() },
	}
}

func hopFault(name string, on mesh.Hop, fault faultproxy.Fault) faultFactory {
	return func(random *rand.Rand, running *mesh.Mesh) injectedFault {
		node := pickRandom(random, running.Sidecars())
		hop := running.Hop(node.Name(), on)
		return injectedFault{
			name: name + " at " + node.Name(), target: node.Name(),
			begin: func(context.Context) error { return hop.Inject(fault) },
			undo:  func(ctx context.Context) error { hop.Heal(ctx); return nil },
		}
	}
}
