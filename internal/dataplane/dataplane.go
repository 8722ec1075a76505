// Package dataplane is the request path of a node whose configuration has typed routes and
// instances: its server and outbound proxy accept the requests of callers, and send them to the
// sidecar of the chosen instance, whose server and inbound proxy deliver them.
package dataplane

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/dataplane/budget"
	"github.com/winchhead/winchhead/internal/dataplane/callpriority"
	"github.com/winchhead/winchhead/internal/dataplane/hop"
	"github.com/winchhead/winchhead/internal/dataplane/inbound"
	"github.com/winchhead/winchhead/internal/dataplane/mechanism"
	"github.com/winchhead/winchhead/internal/dataplane/message"
	"github.com/winchhead/winchhead/internal/dataplane/outbound"
	"github.com/winchhead/winchhead/internal/dataplane/quota"
	"github.com/winchhead/winchhead/internal/dataplane/server"
	"github.com/winchhead/winchhead/internal/dataplane/statement"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wait"
)

// Options set up a Node.
type Options struct {
	Names     message.Names
	Snapshots interface{ Current() *snapshot.Snapshot }
	// Service, Zone and Backend are the service, zone and address of the node's instance.
	Service, Zone, Backend string
	// Slots is the number of slots of an instance whose entry gives none.
	Slots int
	// Cold limits how far the cold rate of a service may be exceeded.
	Cold inbound.ColdBounds
	// NodePort is the port on which the sidecars of other instances accept requests.
	NodePort int
	// LinkBytesPerSecond is the capacity of the machine's network link; zero: not known.
	LinkBytesPerSecond float64
	// BodyMemory limits the bytes of request bodies that the node holds for callers, and as many for other
	// nodes; zero: server.DefaultBodyMemory.
	BodyMemory int64
	// Regions holds the region of each zone.
	Regions map[string]string
	Budget  budget.Options
	// Quota limits the requests of tenants; nil: a limiter of this node alone.
	Quota *quota.Limiter
	// Suspects records the requests that may crash instances; nil: a ledger of this node alone.
	Suspects *suspects.Tracker
	// Statements holds what instances state about themselves; nil: known to this data plane alone.
	Statements *statement.Tracker
	// Mechanisms are the mechanisms that are switched on.
	Mechanisms mechanism.Set
	// Limits apply unless the configuration sets others.
	Limits server.Limits
	// DrainNotice is how long a node that drains goes on accepting requests of callers.
	DrainNotice time.Duration
	// SourceAge is outbound.Options.SourceAge.
	SourceAge func() (age time.Duration, known bool)

	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Node is the data plane of one node.
type Node struct {
	options      Options
	accounts     *budget.Accounts
	quota        *quota.Limiter
	link         link
	calls        *callpriority.Tracker
	inbound      *inbound.Proxy
	outbound     *outbound.Proxy
	callerServer *server.Server
	nodeServer   *server.Server
}

// New returns a Node that accepts no requests until Run.
func New(options Options) (*Node, error) {
	if options.Suspects == nil {
		options.Suspects = suspects.NewTracker()
	}
	if options.Statements == nil {
		options.Statements = statement.NewTracker()
	}
	if options.Quota == nil {
		options.Quota = quota.New(quota.Options{Node: IPOf(options.Backend), Logger: options.Logger})
	}
	created := &Node{
		options:  options,
		accounts: budget.New(options.Budget),
		quota:    options.Quota,
		calls:    callpriority.New(),
	}
	var err error
	if created.link, err = newLink(options); err != nil {
		return nil, err
	}
	if created.inbound, err = created.newInbound(); err != nil {
		return nil, err
	}
	if created.outbound, err = created.newOutbound(); err != nil {
		return nil, err
	}
	created.callerServer = server.New(server.Options{
		Handler: created.outbound, Limits: created.callerLimits,
		RequestID: options.Names.RequestID, Refuse: created.outbound.Refuse, Check: created.outbound.Check,
		BodyMemory: options.BodyMemory, RefuseBody: created.outbound.RefuseBody,
		Egress: created.link.forResponses(options), Memory: created.link.memory,
	})
	created.nodeServer = server.New(server.Options{
		Handler: created.inbound, Limits: created.nodeLimits, Admit: created.inbound.Admit,
		RequestID: options.Names.RequestID, Refuse: plainTextRefusal, ProgressHeader: hop.HeaderProgress,
		BodyMemory: options.BodyMemory, RefuseBody: created.inbound.RefuseBody,
		Egress: created.link.forResponses(options), Memory: created.link.memory,
	})
	return created, nil
}

func (n *Node) newInbound() (*inbound.Proxy, error) {
	options := n.options
	return inbound.New(inbound.Options{
		Names:              options.Names,
		Snapshots:          options.Snapshots,
		Backend:            options.Backend,
		Service:            options.Service,
		Zone:               options.Zone,
		Cold:               options.Cold,
		Budget:             n.accounts,
		Suspects:           options.Suspects,
		Statements:         options.Statements,
		Quota:              n.quota,
		Calls:              n.calls,
		Slots:              options.Slots,
		LinkBytesPerSecond: options.LinkBytesPerSecond,
		Egress:             n.link.forResponses(options),
		Mechanisms:         options.Mechanisms,
		Logger:             options.Logger.WithField("part", "inbound"),
		Registerer:         options.Registerer,
	})
}

func (n *Node) newOutbound() (*outbound.Proxy, error) {
	options := n.options
	return outbound.New(outbound.Options{
		Names:        options.Names,
		Snapshots:    options.Snapshots,
		Service:      options.Service,
		Zone:         options.Zone,
		Regions:      options.Regions,
		Backend:      options.Backend,
		LocalInbound: n.inbound,
		NodePort:     options.NodePort,
		Budget:       n.accounts,
		Suspects:     options.Suspects,
		Statements:   options.Statements,
		Quota:        n.quota,
		Calls:        n.calls,
		Egress:       n.link.forRequests(options),
		Mechanisms:   options.Mechanisms,
		SourceAge:    options.SourceAge,
		Logger:       options.Logger.WithField("part", "outbound"),
		Registerer:   options.Registerer,
	})
}

// IPOf returns the IP address of an instance (IP:port), by which other nodes know its sidecar.
func IPOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return parsed.Addr().String()
}

func plainTextRefusal(status int, reason string) *message.Response {
	return message.Whole(status, nil, []byte(reason+"\n"))
}

// idleSlack is how much longer than configured a caller's connection may be idle.
const idleSlack = time.Second

// SetBudget changes the limits of the repeat budget.
func (n *Node) SetBudget(options budget.Options) { n.accounts.SetOptions(options) }

// callerLimits returns the limits for callers, with those that the configuration sets.
func (n *Node) callerLimits() server.Limits {
	limits := n.options.Limits
	current := n.options.Snapshots.Current()
	if current == nil || current.Limits() == nil {
		return limits
	}
	configured := current.Limits()
	if configured.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = configured.MaxHeaderBytes
	}
	if configured.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = configured.MaxBodyBytes
	}
	if configured.HeaderTimeoutMillis > 0 {
		limits.HeaderTimeout = time.Duration(configured.HeaderTimeoutMillis) * time.Millisecond
	}
	if configured.IdleTimeoutMillis > 0 {
		limits.IdleTimeout = time.Duration(configured.IdleTimeoutMillis)*time.Millisecond + idleSlack
	}
	return limits
}

// hopHeaderBytes is the size reserved for the headers that a node adds to a request.
const hopHeaderBytes = 4 << 10

// nodeLimits returns the limits for other nodes.
func (n *Node) nodeLimits() server.Limits {
	limits := n.callerLimits()
	limits.MaxHeaderBytes += hopHeaderBytes
	limits.IdleTimeout = outbound.NodeServerIdleTimeout
	return limits
}

// maintenanceInterval is the time between two checks of idle connections.
const maintenanceInterval = 2 * time.Second

// Run serves both listeners until ctx ends or the node is closed.
func (n *Node) Run(ctx context.Context, callers, nodes net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.callerServer.Serve(callers) })
	group.Go(func() error { return n.nodeServer.Serve(nodes) })
	group.Go(func() error {
		for wait.For(ctx, maintenanceInterval) == nil {
			n.outbound.Maintain(time.Now())
			n.inbound.Maintain(time.Now())
			n.observeTenants()
		}
		n.callerServer.StopListening()
		n.nodeServer.StopListening()
		return nil
	})
	return group.Wait()
}

// observeTenants tells the quotas which nodes there are.
func (n *Node) observeTenants() {
	if current := n.options.Snapshots.Current(); current != nil && current.RequiresKeys() {
		n.quota.Observe(current)
	}
}

const (
	// quietPeriod is how long no request may be in progress before a drain ends.
	quietPeriod = 200 * time.Millisecond
	// quietCheckInterval is the time between two checks for that.
	quietCheckInterval = 20 * time.Millisecond
	// finalAnswerTime is the part of the drain time reserved for the answers to requests
	// that are still in progress at its end.
	finalAnswerTime = 100 * time.Millisecond
)

// defaultDrainTime is how long a drain without a deadline may take.
const defaultDrainTime = 30 * time.Second

// Drain prepares a graceful shutdown and ends with the context at the latest. For DrainNotice,
// until others know of the shutdown, the node goes on serving callers, and its instance goes on
// with requests that end in time; callers are asked to close their connections. Drain returns
// once no request has been in progress for a while.
func (n *Node) Drain(ctx context.Context) error {
	started := time.Now()
	end, bounded := ctx.Deadline()
	if !bounded {
		end = started.Add(defaultDrainTime)
	}
	end = end.Add(-finalAnswerTime)
	n.inbound.Drain(started.Add(n.options.DrainNotice), end)
	n.callerServer.Drain()
	if err := wait.For(ctx, n.options.DrainNotice); err != nil {
		return err
	}
	n.outbound.Drain(end)
	n.nodeServer.Drain()
	n.callerServer.CloseIdle()
	quiet, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := n.awaitQuiet(quiet)
	if err == nil {
		err = n.awaitClosed(quiet)
	}
	if err != nil {
		n.outbound.Stop()
		_ = wait.For(ctx, finalAnswerTime/2)
	}
	return err
}

// awaitQuiet returns once no request has been in progress for quietPeriod.
func (n *Node) awaitQuiet(ctx context.Context) error {
	for since := time.Now(); time.Since(since) < quietPeriod; {
		if n.Active() > 0 {
			since = time.Now()
		}
		if err := wait.For(ctx, quietCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// awaitClosed accepts no more connections and returns once the last one is closed: a request
// that came at the last moment is still answered.
func (n *Node) awaitClosed(ctx context.Context) error {
	servers := []*server.Server{n.callerServer, n.nodeServer}
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
		if err := wait.For(ctx, quietCheckInterval); err != nil {
			return err
		}
	}
}

// Active returns the number of requests in progress, from callers and from nodes.
func (n *Node) Active() int { return n.callerServer.Active() + n.nodeServer.Active() }

// Close closes all connections and aborts the requests in progress.
func (n *Node) Close() {
	n.callerServer.Close()
	n.nodeServer.Close()
	n.outbound.Close()
	n.inbound.Close()
}
