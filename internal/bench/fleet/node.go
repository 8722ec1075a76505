package fleet

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/keys"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wait"
)

// listenPatience bounds the wait for a former process to give its address up.
const listenPatience = 10 * time.Second

// simulatedNode is one node of the fleet over all its processes. Its fields are
// for the goroutine that drives the fleet.
type simulatedNode struct {
	fleet       *Fleet
	at          endpoint
	address     string
	keys        *keys.Keys // nil without TLS
	incarnation membership.Incarnation
	running     *runningNode // nil while no process runs
}

// runningNode is one process of a node.
type runningNode struct {
	process *process
	node    *distribution.Node // nil with a baseline
	adopter *adopter
	client  *source.Client
	cancel  context.CancelFunc
	ended   chan struct{}
	err     error // set before ended is closed
}

// listing is what the platform's list says of the node.
func (n *simulatedNode) listing(state membership.ListedState) membership.ListedMember {
	return membership.ListedMember{
		Node:        nodeID(n.at.node),
		PeerAddress: n.address,
		Region:      n.at.Region,
		Zone:        n.at.Zone,
		Service:     serviceOf(n.at.node),
		State:       state,
	}
}

// start runs a new process of the node.
func (n *simulatedNode) start() error {
	listener, err := listen(n.address)
	if err != nil {
		return err
	}
	n.incarnation = max(n.incarnation+1, membership.Incarnation(time.Now().UnixMilli()))
	running := &runningNode{process: newProcess(), ended: make(chan struct{})}
	running.adopter = &adopter{node: n.at.node, process: running.process, journal: n.fleet.journal}
	running.client = source.NewClient(source.Options{
		BaseURL: n.fleet.platform.url,
		Node:    nodeID(n.at.node),
		Dial:    n.dialPlatform(running.process),
	})
	work, err := n.fleet.strategy(n, running, listener)
	if err != nil {
		listener.Close()
		return eris.Wrapf(err, "start %s", nodeName(n.at.node))
	}
	ctx, cancel := context.WithCancel(context.Background())
	running.cancel = cancel
	n.running = running
	n.fleet.journal.started(n.at.node)
	go func() {
		defer close(running.ended)
		running.err = work.Run(ctx)
	}()
	return nil
}

// listen takes the address, waiting for a former process to give it up.
func listen(address string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listenPatience)
	defer cancel()
	const pause = 20 * time.Millisecond
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if wait.For(ctx, pause) != nil {
			return nil, eris.Wrapf(err, "listen on %s", address)
		}
	}
}

func (n *simulatedNode) record() membership.Record {
	return membership.Record{
		Node:        nodeID(n.at.node),
		Incarnation: n.incarnation,
		Sequence:    1,
		State:       membership.StateReady,
		Region:      n.at.Region,
		Zone:        n.at.Zone,
		PeerAddress: n.address,
		DataAddress: dataAddress(n.address),
		Service:     serviceOf(n.at.node),
		Slots:       20,
	}
}

// dialPeer returns the node's dial function for other nodes.
func (n *simulatedNode) dialPeer(owner *process) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		connection, err := n.fleet.network.dial(ctx, n.at, address)
		owner.await(ctx.Done())
		if err != nil {
			return nil, err
		}
		return owner.own(n.fleet.traffic.peer(connection)), nil
	}
}

// dialPlatform returns the node's dial function for the platform.
func (n *simulatedNode) dialPlatform(owner *process) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		connection, err := n.fleet.network.dial(ctx, n.at, address)
		owner.await(ctx.Done())
		if err != nil {
			return nil, err
		}
		return owner.own(n.fleet.traffic.source(connection)), nil
	}
}

// kill ends the process at once: nothing more leaves it.
func (n *simulatedNode) kill() error {
	running := n.running
	if running == nil {
		return nil
	}
	n.running = nil
	running.process.kill()
	running.cancel()
	<-running.ended
	running.client.Close()
	return running.err
}
