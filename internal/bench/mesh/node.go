package mesh

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/membership"
)

// ErrUnsupported tells that nodes in this process cannot be paused.
var ErrUnsupported = errors.New("only nodes that are processes can be paused")

// runner runs one node: as a process or in this one.
type runner interface {
	// Start begins a run; there must be none.
	Start() error
	// Stop makes a planned stop and waits for its end.
	Stop(ctx context.Context) error
	// Kill ends the run, at once if it is a process, and waits; without a run it
	// does nothing.
	Kill() error
	Pause() error
	Resume() error
	// Ended is closed when the run is over.
	Ended() <-chan struct{}
}

// Node is one node of a mesh. Its methods must not be called at the same time.
type Node struct {
	mesh   *Mesh
	plan   deployment.Node
	runner runner
}

// Name returns the node's name.
func (n *Node) Name() string { return n.plan.Node.Name }

// Zone returns the node's zone.
func (n *Node) Zone() string { return n.plan.Node.Zone }

// Service returns the service of the back end beside it, or "".
func (n *Node) Service() string { return n.plan.Inbound.Service }

// Outbound returns where callers reach the node (IP:port).
func (n *Node) Outbound() string { return n.plan.Outbound.Listen }

// Inbound returns the address where other nodes send requests; empty for an edge.
func (n *Node) Inbound() string { return n.plan.Inbound.Listen }

// Peers returns the address where links of other nodes are taken.
func (n *Node) Peers() string { return n.plan.Peers.Listen }

// AdminAddress returns where operators reach the node (IP:port).
func (n *Node) AdminAddress() string { return n.plan.Admin.Listen }

// Admin returns a client of its operators' HTTP.
func (n *Node) Admin() *admin.Client { return admin.NewClient(n.plan.Admin.Listen) }

// Start starts the node and puts it in the platform's list. It doesn't wait:
// callers are sent to an edge once AwaitReady has seen that it is ready.
func (n *Node) Start(context.Context) error {
	if err := n.runner.Start(); err != nil {
		return eris.Wrapf(err, "start %s", n.Name())
	}
	n.mesh.Platform.PutMember(n.plan.Member())
	return nil
}

// Replace makes a planned stop, starts the node again and waits until it is
// ready.
func (n *Node) Replace(ctx context.Context) error {
	if err := n.Stop(ctx); err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	return n.mesh.AwaitReady(ctx, n)
}

// Stop makes a planned stop: callers and the platform's list are told, then the
// node is asked to end. It returns when it has ended.
func (n *Node) Stop(ctx context.Context) error {
	n.mesh.Entries.Remove(n.Outbound())
	n.AnnounceLeaving()
	if err := n.runner.Stop(ctx); err != nil {
		return eris.Wrapf(err, "stop %s", n.Name())
	}
	n.mesh.Platform.RemoveMember(n.plan.Member().Node)
	return nil
}

// AnnounceLeaving says in the platform's list that the machine is leaving. The
// node itself is not told.
func (n *Node) AnnounceLeaving() {
	leaving := n.plan.Member()
	leaving.State = membership.ListedLeaving
	n.mesh.Platform.PutMember(leaving)
}

// AnnounceStaying takes AnnounceLeaving back.
func (n *Node) AnnounceStaying() { n.mesh.Platform.PutMember(n.plan.Member()) }

// Kill ends the node at once. Neither callers nor the platform's list are told.
func (n *Node) Kill() error { return eris.Wrapf(n.runner.Kill(), "kill %s", n.Name()) }

// Pause stops the node's process without ending it (SIGSTOP).
func (n *Node) Pause() error { return eris.Wrapf(n.runner.Pause(), "pause %s", n.Name()) }

// Resume wakes a paused node (SIGCONT).
func (n *Node) Resume() error { return eris.Wrapf(n.runner.Resume(), "resume %s", n.Name()) }

// Ended is closed when the node's current run is over.
func (n *Node) Ended() <-chan struct{} { return n.runner.Ended() }

func (n *Node) end() error { return n.runner.Kill() }

// nodeArguments are those of the program that runs a node.
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
