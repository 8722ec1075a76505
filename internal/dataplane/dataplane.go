// Package dataplane is the path of requests on a node whose configuration names
// typed routes and instances: callers' requests are taken by its server and
// outbound proxy, and brought to the instance beside another node by that node's
// server and inbound proxy.
package dataplane

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/outbound"
	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wait"
)

// Options set up a Node.
type Options struct {
	Names     message.Names
	Snapshots interface{ Current() *snapshot.Snapshot }
	// Service, Zone and Backend are those of the instance beside the node.
	Service, Zone, Backend string
	// Slots are those of an instance that names none.
	Slots int
	// Cold is the tolerance above the cold rate of a service.
	Cold inbound.ColdBounds
	// NodePort is where the nodes beside other instances take requests.
	NodePort int
	// LinkBytesPerSecond is the capacity of the machine's link; zero: not known.
	LinkBytesPerSecond float64
	Budget             budget.Options
	// Suspects knows the requests that may crash instances; nil: they are known here alone.
	Suspects *suspects.Ledger
	// Mechanisms that are on.
	Mechanisms mechanism.Set
	// Limits hold until the configuration names others.
	Limits server.Limits
	// DrainNotice is how long a planned stop goes on taking requests of callers.
	DrainNotice time.Duration

	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Node is the data plane of one node.
type Node struct {
	options  Options
	accounts *budget.Accounts
	inbound  *inbound.Proxy
	outbound *outbound.Proxy
	callers  *server.Server
	nodes    *server.Server
}

// New returns a Node that takes nothing yet.
func New(options Options) (*Node, error) {
	if options.Suspects == nil {
		options.Suspects = suspects.NewLedger()
	}
	created := &Node{options: options, accounts: budget.New(options.Budget)}
	var err error
	created.inbound, err = inbound.New(inbound.Options{
		Names: options.Names, Snapshots: options.Snapshots, Backend: options.Backend,
		Service: options.Service, Zone: options.Zone, Cold: options.Cold, Budget: created.accounts, Suspects: options.Suspects,
		Slots: options.Slots, LinkBytesPerSecond: options.LinkBytesPerSecond, Mechanisms: options.Mechanisms, Logger: options.Logger.WithField("part", "inbound"), Registerer: options.Registerer,
	})
	if err != nil {
		return nil, err
	}
	created.outbound, err = outbound.New(outbound.Options{
		Names: options.Names, Snapshots: options.Snapshots, Service: options.Service, Zone: options.Zone,
		Backend: options.Backend, Neighbour: created.inbound, NodePort: options.NodePort, Budget: created.accounts, Suspects: options.Suspects,
		LinkBytesPerSecond: options.LinkBytesPerSecond, Mechanisms: options.Mechanisms,
		Logger: options.Logger.WithField("part", "outbound"), Registerer: options.Registerer,
	})
	if err != nil {
		return nil, err
	}
	created.callers = server.New(server.Options{
		Handler: created.outbound, Limits: created.callerLimits,
		RequestID: options.Names.RequestID, Refuse: created.outbound.Refuse,
	})
	created.nodes = server.New(server.Options{
		Handler: created.inbound, Limits: created.nodeLimits, Admit: created.inbound.Admit,
		RequestID: options.Names.RequestID, Refuse: refusePlainly, ProgressHeader: hop.HeaderProgress,
	})
	return created, nil
}

func refusePlainly(status int, reason string) *message.Answer {
	return message.Whole(status, nil, []byte(reason+"\n"))
}

// idleSlack is how much longer than promised a caller's connection may rest.
const idleSlack = time.Second

// SetBudget changes the bounds of repeats.
func (n *Node) SetBudget(options budget.Options) { n.accounts.SetOptions(options) }

// callerLimits are those in force for callers.
func (n *Node) callerLimits() server.Limits {
	limits := n.options.Limits
	current := n.options.Snapshots.Current()
	if current == nil || current.Limits() == nil {
		return limits
	}
	named := current.Limits()
	if named.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = named.MaxHeaderBytes
	}
	if named.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = named.MaxBodyBytes
	}
	if named.HeaderTimeoutMillis > 0 {
		limits.HeaderTimeout = time.Duration(named.HeaderTimeoutMillis) * time.Millisecond
	}
	if named.IdleTimeoutMillis > 0 {
		limits.IdleTimeout = time.Duration(named.IdleTimeoutMillis)*time.Millisecond + idleSlack
	}
	return limits
}

// hopHeaderBytes is room for what a node adds to a request.
const hopHeaderBytes = 4 << 10

// nodeLimits are those for other nodes.
func (n *Node) nodeLimits() server.Limits {
	limits := n.callerLimits()
	limits.MaxHeaderBytes += hopHeaderBytes
	limits.IdleTimeout = outbound.NodeServerIdle
	return limits
}

// maintenanceInterval is the time between two looks at resting connections.
const maintenanceInterval = 2 * time.Second

// Run serves both listeners until ctx ends or the node is closed.
func (n *Node) Run(ctx context.Context, callers, nodes net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.callers.Serve(callers) })
	group.Go(func() error { return n.nodes.Serve(nodes) })
	group.Go(func() error {
		for wait.For(ctx, maintenanceInterval) == nil {
			n.outbound.Maintain(time.Now())
			n.inbound.Maintain(time.Now())
		}
		n.callers.StopListening()
		n.nodes.StopListening()
		return nil
	})
	return group.Wait()
}

const (
	// quietTime is how long nothing may be in progress before a planned stop ends.
	quietTime = 200 * time.Millisecond
	// quietCheck is the time between two looks.
	quietCheck = 20 * time.Millisecond
	// lastAnswers is what is left of a planned stop for the answers to requests
	// that are still in progress at its end.
	lastAnswers = 100 * time.Millisecond
)

// defaultStopTime is how long a planned stop without a limit may take.
const defaultStopTime = 30 * time.Second

// Drain is a planned stop, which ends with the context at the latest. For a while,
// until others know of it, the node goes on serving callers and its instance what
// ends in time; callers are asked to close their connections. It returns once
// nothing was in progress for a while.
func (n *Node) Drain(ctx context.Context) error {
	started := time.Now()
	end, bounded := ctx.Deadline()
	if !bounded {
		end = started.Add(defaultStopTime)
	}
	end = end.Add(-lastAnswers)
	n.inbound.Drain(started.Add(n.options.DrainNotice), end)
	n.callers.Drain()
	if err := wait.For(ctx, n.options.DrainNotice); err != nil {
		return err
	}
	n.outbound.Drain(end)
	n.nodes.Drain()
	n.callers.CloseIdle()
	quiet, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := n.awaitQuiet(quiet)
	if err == nil {
		err = n.awaitClosed(quiet)
	}
	if err != nil {
		n.outbound.Stop()
		_ = wait.For(ctx, lastAnswers/2)
	}
	return err
}

// awaitQuiet returns once nothing was in progress for quietTime.
func (n *Node) awaitQuiet(ctx context.Context) error {
	for since := time.Now(); time.Since(since) < quietTime; {
		if n.Active() > 0 {
			since = time.Now()
		}
		if err := wait.For(ctx, quietCheck); err != nil {
			return err
		}
	}
	return nil
}

// awaitClosed takes no more connections and returns once the last one is closed: a
// request that came at the last moment is still answered.
func (n *Node) awaitClosed(ctx context.Context) error {
	servers := []*server.Server{n.callers, n.nodes}
	for _, each := range servers {
		each.StopListening()
	}
	for {
		open := 0
		for _, each := range servers {
			each.CloseIdle()
			open += each.Connections()
		}
		if open == 0 {
			return nil
		}
		if err := wait.For(ctx, quietCheck); err != nil {
			return err
		}
	}
}

// Active counts the requests in progress, those of callers and of nodes.
func (n *Node) Active() int { return n.callers.Active() + n.nodes.Active() }

// Close cuts what is in progress.
func (n *Node) Close() {
	n.callers.Close()
	n.nodes.Close()
	n.outbound.Close()
	n.inbound.Close()
}
