package mesh

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/membership"
)

// ErrUnsupported means that nodes in this process cannot be paused.
var ErrUnsupported = errors.New("only nodes that run as processes can be paused")

// runner runs one node, as a process of its own or in this process.
type runner interface {
	// Start starts the node, which must not be running.
	Start() error
	// Stop shuts the node down gracefully and waits until it has stopped.
	Stop(ctx context.Context) error
	// Kill kills the node if it is a process, shuts it down gracefully otherwise, and
	// waits until the node has stopped. It does nothing if the node isn't running.
	Kill() error
	Pause() error
	Resume() error
	// Ended returns a channel that is closed when the current run has ended.
	Ended() <-chan struct{}
}

// Node is one node of a mesh. Its methods must not be called concurrently.
type Node struct {
	mesh   *Mesh
	plan   deployment.Node
	runner runner
}

// Name returns the node's name.
func (n *Node) Name() string { return n.plan.Node.Name }

// Zone returns the node's zone.
func (n *Node) Zone() string { return n.plan.Node.Zone }

// Service returns the service of the node's backend, or "" for an edge.
func (n *Node) Service() string { return n.plan.Inbound.Service }

// Outbound returns the address that callers send requests to (IP:port).
func (n *Node) Outbound() string { return n.plan.Outbound.Listen }

// Inbound returns the address where other nodes send requests; empty for an edge.
func (n *Node) Inbound() string { return n.plan.Inbound.Listen }

// Peers returns the address that accepts links from other nodes.
func (n *Node) Peers() string { return n.plan.Peers.Listen }

// AdminAddress returns the address of the node's admin API (IP:port).
func (n *Node) AdminAddress() string { return n.plan.Admin.Listen }

// Admin returns a client for the node's admin API.
func (n *Node) Admin() *admin.Client { return admin.NewClient(n.plan.Admin.Listen) }

// Start starts the node and adds it to the platform's membership list. It doesn't
// wait: AwaitReady adds an edge to Mesh.Entries once the edge is ready.
func (n *Node) Start(context.Context) error {
	if err := n.runner.Start(); err != nil {
		return eris.Wrapf(err, "start %s", n.Name())
	}
	n.mesh.Platform.PutMember(n.plan.Member())
	return nil
}

// Replace shuts the node down gracefully, starts it again and waits until it is ready.
func (n *Node) Replace(ctx context.Context) error {
	if err := n.Stop(ctx); err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	return n.mesh.AwaitReady(ctx, n)
}

// Stop shuts the node down gracefully: it removes the node from Mesh.Entries, marks it as
// leaving in the platform's membership list, stops it and waits until it has ended.
func (n *Node) Stop(ctx context.Context) error {
	n.mesh.Entries.Remove(n.Outbound())
	n.AnnounceLeaving()
	if err := n.runner.Stop(ctx); err != nil {
		return eris.Wrapf(err, "stop %s", n.Name())
	}
	n.mesh.Platform.RemoveMember(n.plan.Member().Node)
	return nil
}

// AnnounceLeaving marks the node as leaving in the platform's membership list. The
// node itself is not notified.
func (n *Node) AnnounceLeaving() {
	leaving := n.plan.Member()
	leaving.State = membership.ListedLeaving
	n.mesh.Platform.PutMember(leaving)
}

// AnnounceStaying reverts AnnounceLeaving.
func (n *Node) AnnounceStaying() { n.mesh.Platform.PutMember(n.plan.Member()) }

// Kill kills the node. Mesh.Entries and the platform's membership list keep it.
func (n *Node) Kill() error { return eris.Wrapf(n.runner.Kill(), "kill %s", n.Name()) }

// Pause suspends the node's process (SIGSTOP).
func (n *Node) Pause() error { return eris.Wrapf(n.runner.Pause(), "pause %s", n.Name()) }

// Resume continues a paused node (SIGCONT).
func (n *Node) Resume() error { return eris.Wrapf(n.runner.Resume(), "resume %s", n.Name()) }

// Ended returns a channel that is closed when the node's current run has ended.
func (n *Node) Ended() <-chan struct{} { return n.runner.Ended() }

func (n *Node) end() error { return n.runner.Kill() }

// nodeArguments returns the command-line arguments that run a node.
func nodeArguments(plan deployment.Node) []string {
	arguments := []string{"node"}
	if plan.File != "" {
		arguments = append(arguments, "--settings", plan.File)
	}
	for key, value := range plan.Overrides {
		arguments = append(arguments, "--"+key+"="+value)
	}
	return arguments
}
