package mesh

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// askInterval is the time between two questions to one node.
const askInterval = 5 * time.Millisecond

// readyState is the state that a node reports when it takes new work.
const readyState = "ready"

// await asks a node until what it answers holds or ctx ends. missing says what
// is still waited for, for the error.
func await[T any](ctx context.Context, node *Node, ask func(context.Context, *admin.Client) (T, error), holds func(T) bool) error {
	client := node.Admin()
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	var last string
	for {
		answer, err := ask(ctx, client)
		switch {
		case err == nil && holds(answer):
			return nil
		case err == nil:
			last = fmt.Sprintf("%+v", answer)
		case ctx.Err() == nil:
			last = err.Error()
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s still has: %s", node.Name(), last)
		case <-ticker.C:
		}
	}
}

// awaitAll runs one wait per node at once.
func awaitAll(ctx context.Context, nodes []*Node, wait func(context.Context, *Node) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range nodes {
		group.Go(func() error { return wait(ctx, node) })
	}
	return group.Wait()
}

func askStatus(ctx context.Context, client *admin.Client) (admin.NodeStatus, error) {
	return client.Status(ctx)
}

func askMembers(ctx context.Context, client *admin.Client) (admin.MemberList, error) {
	return client.Members(ctx)
}

// AwaitReady waits until the nodes hold a version and take new work, and sends
// callers to each edge that does; no nodes means all.
func (m *Mesh) AwaitReady(ctx context.Context, nodes ...*Node) error {
	return awaitAll(ctx, m.orAll(nodes), func(ctx context.Context, node *Node) error {
		err := m.AwaitState(ctx, node, readyState)
		if err == nil && node.plan.Edge() {
			m.Entries.Add(node.Outbound())
		}
		return err
	})
}

// AwaitState waits until a node holds a version and reports a state.
func (m *Mesh) AwaitState(ctx context.Context, node *Node, state string) error {
	return await(ctx, node, askStatus, func(status admin.NodeStatus) bool {
		return !status.Held.IsZero() && status.State == state
	})
}

// AwaitRevision waits until the nodes hold at least a revision; no nodes means
// all. It returns when the last one was seen to hold it.
func (m *Mesh) AwaitRevision(ctx context.Context, revision snapshot.Revision, nodes ...*Node) (time.Time, error) {
	err := awaitAll(ctx, m.orAll(nodes), func(ctx context.Context, node *Node) error {
		return await(ctx, node, askStatus, func(status admin.NodeStatus) bool {
			return status.Held.Revision >= revision
		})
	})
	return time.Now(), err
}

// AwaitRefusal waits until the nodes report that they refused a revision, and
// returns the reason of the first; no nodes means all.
func (m *Mesh) AwaitRefusal(ctx context.Context, revision snapshot.Revision, nodes ...*Node) (string, error) {
	nodes = m.orAll(nodes)
	err := awaitAll(ctx, nodes, func(ctx context.Context, node *Node) error {
		return await(ctx, node, askStatus, func(status admin.NodeStatus) bool {
			return status.Refused != nil && status.Refused.Version.Revision == revision
		})
	})
	if err != nil {
		return "", err
	}
	status, err := nodes[0].Admin().Status(ctx)
	if err != nil || status.Refused == nil {
		return "", eris.Wrap(err, "the refusal is gone")
	}
	return status.Refused.Reason, nil
}

// AwaitInstances waits until the nodes see exactly count instances of a service
// that take new work; no nodes means all.
func (m *Mesh) AwaitInstances(ctx context.Context, service string, count int, nodes ...*Node) error {
	return awaitAll(ctx, m.orAll(nodes), func(ctx context.Context, node *Node) error {
		return await(ctx, node, askMembers, func(list admin.MemberList) bool {
			return readyInstances(list, service) == count
		})
	})
}

func readyInstances(list admin.MemberList, service string) int {
	ready := 0
	for _, member := range list.Members {
		if member.Service == service && member.State == readyState && !member.Leaving {
			ready++
		}
	}
	return ready
}

// AwaitWhole waits until every node is ready and sees every instance of the
// deployment.
func (m *Mesh) AwaitWhole(ctx context.Context) error {
	if err := m.AwaitReady(ctx); err != nil {
		return err
	}
	counts := map[string]int{}
	for _, node := range m.Beside() {
		counts[node.Service()]++
	}
	for service, count := range counts {
		if err := m.AwaitInstances(ctx, service, count); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) orAll(nodes []*Node) []*Node {
	if len(nodes) == 0 {
		return m.nodes
	}
	return nodes
}
