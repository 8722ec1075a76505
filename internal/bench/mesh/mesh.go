// Package mesh runs a whole deployment on one machine: the emulated platform,
// the emulated backends and the nodes, in this process or as processes of the
// winchhead binary, with fault proxies on the hops between them. The demo, the
// soak test, the benchmarks and the integration tests use it and do their own checks.
package mesh

import (
	"context"
	"errors"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/bench/process"
	"github.com/winchhead/winchhead/internal/emulator/backend"
	"github.com/winchhead/winchhead/internal/emulator/platform"
	"github.com/winchhead/winchhead/internal/settings"
)

// Options configures a Mesh.
type Options struct {
	Deployment *deployment.Deployment
	// Host is the loopback IP of all addresses; empty picks one with NextHost.
	Host string
	// Binary is the path of the winchhead binary; empty runs the nodes in this
	// process, where they cannot be paused and Kill shuts them down gracefully.
	Binary string
	// Logs receives the logs of the nodes; nil discards them.
	Logs io.Writer
	// Overrides are settings to change on every node, by dotted key.
	Overrides settings.Overrides
	// Hops lists the hops that get fault proxies; none by default.
	Hops []Hop
	// Platform configures the emulated platform. Content is set by Start.
	Platform platform.Options
	// Backend configures every emulated backend. Name, Slots, Connections and
	// Outbound are set by Start.
	Backend backend.Options
}

// Mesh is a running deployment.
type Mesh struct {
	// Platform is the emulated platform, with the methods that operators use.
	Platform *Platform
	// Entries are the outbound addresses of the edges that are running and ready.
	Entries *load.Entries

	options  Options
	nodes    []*Node
	backends []*Backend
	hops     hopTable
}

// Start starts the platform, all backends and all nodes. It doesn't wait until
// the nodes are ready.
func Start(ctx context.Context, options Options) (*Mesh, error) {
	m := &Mesh{options: options, hops: hopTable{}, Entries: load.NewEntries()}
	if err := m.start(ctx); err != nil {
		return nil, errors.Join(err, m.Close())
	}
	return m, nil
}

func (m *Mesh) start(ctx context.Context) error {
	plan, err := m.plan()
	if err != nil {
		return err
	}
	if m.Platform, err = startPlatform(m.options.Platform, plan); err != nil {
		return err
	}
	for _, node := range plan.Nodes {
		if err := m.add(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

// plan returns the deployment with the mesh's host and overrides.
func (m *Mesh) plan() (*deployment.Deployment, error) {
	host := m.options.Host
	if host == "" {
		host = NextHost()
	}
	moved, err := m.options.Deployment.WithHost(host)
	if err != nil {
		return nil, err
	}
	return moved.Map(func(deployment.Node) (settings.Overrides, error) { return m.options.Overrides, nil })
}

// add starts a node and, unless it is an edge, its backend.
func (m *Mesh) add(ctx context.Context, plan deployment.Node) error {
	if !plan.Edge() {
		instance, err := startBackend(m.options.Backend, plan)
		if err != nil {
			return err
		}
		m.backends = append(m.backends, instance)
	}
	proxied, err := m.hops.install(m.options.Hops, plan)
	if err != nil {
		return err
	}
	node := &Node{mesh: m, plan: proxied, runner: m.newRunner(proxied)}
	m.nodes = append(m.nodes, node)
	return node.Start(ctx)
}

func (m *Mesh) newRunner(plan deployment.Node) runner {
	if m.options.Binary == "" {
		return newEmbedded(plan, m.options.Logs)
	}
	return process.New(m.options.Binary, nodeArguments(plan), m.options.Logs)
}

// Nodes returns all nodes.
func (m *Mesh) Nodes() []*Node { return slices.Clone(m.nodes) }

// Node returns the node with a name; it panics if the deployment has none.
func (m *Mesh) Node(name string) *Node {
	for _, node := range m.nodes {
		if node.Name() == name {
			return node
		}
	}
	panic("the deployment has no node " + name)
}

// Edges returns the nodes that stand alone and take requests from callers.
func (m *Mesh) Edges() []*Node {
	return slices.DeleteFunc(m.Nodes(), func(node *Node) bool { return !node.plan.Edge() })
}

// Sidecars returns the sidecars of the backends.
func (m *Mesh) Sidecars() []*Node {
	return slices.DeleteFunc(m.Nodes(), func(node *Node) bool { return node.plan.Edge() })
}

// Backends returns all backends.
func (m *Mesh) Backends() []*Backend { return slices.Clone(m.backends) }

// Backend returns the backend of the sidecar with a name; it panics if there is none.
func (m *Mesh) Backend(node string) *Backend {
	for _, instance := range m.backends {
		if instance.Node == node {
			return instance
		}
	}
	panic("there is no backend of node " + node)
}

// Journal returns the merged journals of what all backends have run so far.
func (m *Mesh) Journal() load.Journal {
	records := make([]backend.JournalRecord, 0, len(m.backends))
	for _, instance := range m.backends {
		records = append(records, instance.Journal().Record())
	}
	return load.MergeJournals(records...)
}

// Close kills the nodes and backends and stops the platform. Nodes that are processes
// don't shut down gracefully.
func (m *Mesh) Close() error {
	var group errgroup.Group
	for _, node := range m.nodes {
		group.Go(node.end)
	}
	errs := []error{group.Wait()}
	m.hops.close()
	for _, instance := range m.backends {
		instance.Kill()
	}
	if m.Platform != nil {
		errs = append(errs, m.Platform.close())
	}
	return eris.Wrap(errors.Join(errs...), "close the mesh")
}
