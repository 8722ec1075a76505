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

// pollInterval is the time between two requests to the same node.
const pollInterval = 5 * time.Millisecond

// readyState is the state that a node reports when it accepts new requests.
const readyState = "ready"

// await polls a node until the response satisfies condition or ctx ends. The error
// then contains the last response.
func await[T any](ctx context.Context, node *Node, query func(context.Context, *admin.Client) (T, error), condition func(T) bool) error {
	client := node.Admin()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastResponse string
	for {
		response, err := query(ctx, client)
		switch {
		case err == nil && condition(response):
			return nil
		case err == nil:
			lastResponse = fmt.Sprintf("%+v", response)
		case ctx.Err() == nil:
			lastResponse = err.Error()
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%s did not reach the expected state; last response: %s", node.Name(), lastResponse)
		case <-ticker.C:
		}
	}
}

// awaitAll runs wait for all nodes concurrently.
func awaitAll(ctx context.Context, nodes []*Node, wait func(context.Context, *Node) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range nodes {
		group.Go(func() error { return wait(ctx, node) })
	}
	return group.Wait()
}

func queryStatus(ctx context.Context, client *admin.Client) (admin.NodeStatus, error) {
	return client.Status(ctx)
}

func queryMembers(ctx context.Context, client *admin.Client) (admin.MemberList, error) {
	return client.Members(ctx)
}

// AwaitReady waits until the nodes hold a configuration and accept new requests. Each
// edge that does is added to Entries. Without nodes it waits for all of the mesh.
func (m *Mesh) AwaitReady(ctx context.Context, nodes ...*Node) error {
	return awaitAll(ctx, m.nodesOrAll(nodes), func(ctx context.Context, node *Node) error {
		err := m.AwaitState(ctx, node, readyState)
		if err == nil && node.plan.Edge() {
			m.Entries.Add(node.Outbound())
		}
		return err
	})
}

// AwaitState waits until a node holds a configuration and reports a state.
func (m *Mesh) AwaitState(ctx context.Context, node *Node, state string) error {
	return await(ctx, node, queryStatus, func(status admin.NodeStatus) bool {
		return !status.Held.IsZero() && status.State == state
	})
}

// AwaitRevision waits until the nodes, or all if none are given, hold a revision or a
// later one. It returns the time at which this was observed for the last node.
func (m *Mesh) AwaitRevision(ctx context.Context, revision snapshot.Revision, nodes ...*Node) (time.Time, error) {
	err := awaitAll(ctx, m.nodesOrAll(nodes), func(ctx context.Context, node *Node) error {
		return await(ctx, node, queryStatus, func(status admin.NodeStatus) bool {
			return status.Held.Revision >= revision
		})
	})
	return time.Now(), err
}

// AwaitRefusal waits until the nodes, or all if none are given, report that they
// refused a revision. It returns the reason that the first node gives.
func (m *Mesh) AwaitRefusal(ctx context.Context, revision snapshot.Revision, nodes ...*Node) (string, error) {
	nodes = m.nodesOrAll(nodes)
	err := awaitAll(ctx, nodes, func(ctx context.Context, node *Node) error {
		return await(ctx, node, queryStatus, func(status admin.NodeStatus) bool {
			return status.Refused != nil && status.Refused.Version.Revision == revision
		})
	})
	if err != nil {
		return "", err
	}
	status, err := nodes[0].Admin().Status(ctx)
	if err != nil || status.Refused == nil {
		return "", eris.Wrap(err, "the node no longer reports the refusal")
	}
	return status.Refused.Reason, nil
}

// AwaitInstances waits until the nodes, or all if none are given, see exactly count
// instances of a service that accept new requests.
func (m *Mesh) AwaitInstances(ctx context.Context, service string, count int, nodes ...*Node) error {
	return awaitAll(ctx, m.nodesOrAll(nodes), func(ctx context.Context, node *Node) error {
		return await(ctx, node, queryMembers, func(list admin.MemberList) bool {
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

// AwaitComplete waits until every node is ready and sees every instance of the
// deployment.
func (m *Mesh) AwaitComplete(ctx context.Context) error {
	if err := m.AwaitReady(ctx); err != nil {
		return err
	}
	counts := map[string]int{}
	for _, node := range m.Sidecars() {
		counts[node.Service()]++
	}
	for service, count := range counts {
		if err := m.AwaitInstances(ctx, service, count); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) nodesOrAll(nodes []*Node) []*Node {
	if len(nodes) == 0 {
		return m.nodes
	}
	return nodes
}
