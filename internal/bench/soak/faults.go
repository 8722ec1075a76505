package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/bench/faultproxy"
	"github.com/winchhead/winchhead/internal/bench/mesh"
)

// disturbance is one fault: it begins, lasts and is undone.
type disturbance struct {
	name string
	// target is the node concerned; two faults at once have different ones.
	target string
	begin  func(ctx context.Context) error
	undo   func(ctx context.Context) error
}

// chooser makes one kind of disturbance for a mesh, with a target drawn from the
// random source.
type chooser func(random *rand.Rand, running *mesh.Mesh) disturbance

// choosers are all kinds of disturbance, drawn with equal chance.
var choosers = []chooser{
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
	hopFault("half of the link between nodes is dead", mesh.HopData, faultproxy.Fault{Kind: faultproxy.Stall, Direction: faultproxy.TowardsServer}),
}

// Sizes of the faults.
const (
	cutBytes  = 700
	linkDelay = 150 * time.Millisecond
	// stopGrace bounds how long the soak waits for a planned stop.
	stopGrace = 45 * time.Second
)

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func killNode(random *rand.Rand, running *mesh.Mesh) disturbance {
	node := pick(random, running.Beside())
	return disturbance{
		name: "kill node " + node.Name(), target: node.Name(),
		begin: func(context.Context) error { return node.Kill() },
		undo:  node.Start,
	}
}

func killBackend(random *rand.Rand, running *mesh.Mesh) disturbance {
	instance := pick(random, running.Backends())
	return disturbance{
		name: "kill back end " + instance.Node, target: instance.Node,
		begin: func(context.Context) error { instance.Kill(); return nil },
		undo:  func(context.Context) error { return instance.Restart() },
	}
}

func killBoth(random *rand.Rand, running *mesh.Mesh) disturbance {
	instance := pick(random, running.Backends())
	node := running.Node(instance.Node)
	return disturbance{
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

func pauseNode(random *rand.Rand, running *mesh.Mesh) disturbance {
	node := pick(random, running.Beside())
	return disturbance{
		name: "pause node " + node.Name(), target: node.Name(),
		begin: func(context.Context) error { return node.Pause() },
		undo:  func(context.Context) error { return node.Resume() },
	}
}

func stopNode(random *rand.Rand, running *mesh.Mesh) disturbance {
	return plannedStop(running, pick(random, running.Beside()))
}

func stopEdge(random *rand.Rand, running *mesh.Mesh) disturbance {
	return plannedStop(running, pick(random, running.Edges()))
}

func plannedStop(running *mesh.Mesh, node *mesh.Node) disturbance {
	return disturbance{
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
			ctx, cancel := context.WithTimeout(ctx, healTimeout)
			defer cancel()
			return running.AwaitReady(ctx, node)
		},
	}
}

// drainBackend lets a back end announce that it leaves, leave once its work is
// done, and come back as a new process.
func drainBackend(random *rand.Rand, running *mesh.Mesh) disturbance {
	instance := pick(random, running.Backends())
	return disturbance{
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

func platformOutage(_ *rand.Rand, running *mesh.Mesh) disturbance {
	return disturbance{
		name:  "configuration source down",
		begin: func(context.Context) error { return running.Platform.Outage() },
		undo:  func(context.Context) error { return running.Platform.Return() },
	}
}

func refuseHop(random *rand.Rand, running *mesh.Mesh) disturbance {
	node := pick(random, running.Beside())
	hop := running.Hop(node.Name(), pick(random, []mesh.Hop{mesh.HopBackend, mesh.HopData}))
	return disturbance{
		name: "refuse connections to " + node.Name(), target: node.Name(),
		begin: func(context.Context) error { hop.Refuse(); return nil },
		undo:  func(context.Context) error { return hop.Accept() },
	}
}

func hopFault(name string, on mesh.Hop, fault faultproxy.Fault) chooser {
	return func(random *rand.Rand, running *mesh.Mesh) disturbance {
		node := pick(random, running.Beside())
		hop := running.Hop(node.Name(), on)
		return disturbance{
			name: name + " at " + node.Name(), target: node.Name(),
			begin: func(context.Context) error { return hop.Inject(fault) },
			undo:  func(ctx context.Context) error { hop.Heal(ctx); return nil },
		}
	}
}
