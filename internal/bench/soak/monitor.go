package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/admin"
	"github.com/winchhead/winchhead/internal/bench/mesh"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wait"
)

// monitorInterval is the time between two status requests to the same node.
const monitorInterval = 100 * time.Millisecond

// monitor polls every node for the version it holds and records each process that
// went back to an older version.
type monitor struct {
	cancel context.CancelFunc
	nodes  sync.WaitGroup
	lock   sync.Mutex
	found  []string
}

func startMonitor(ctx context.Context, running *mesh.Mesh) *monitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &monitor{cancel: cancel}
	for _, node := range running.Nodes() {
		m.nodes.Go(func() { m.poll(ctx, node.Admin()) })
	}
	return m
}

// poll compares each reported revision with the highest one that the same process
// reported before.
func (m *monitor) poll(ctx context.Context, client *admin.Client) {
	var highest snapshot.Revision
	var incarnation membership.Incarnation
	for wait.For(ctx, monitorInterval) == nil {
		status, err := client.Status(ctx)
		if err != nil {
			continue // the node is killed, paused or restarting
		}
		if status.Incarnation != incarnation {
			incarnation, highest = status.Incarnation, 0
		}
		if status.Held.Revision < highest {
			m.addRegression(fmt.Sprintf("%s held revision %d and later revision %d", status.Node, highest, status.Held.Revision))
		}
		highest = max(highest, status.Held.Revision)
	}
}

func (m *monitor) addRegression(regression string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.found = append(m.found, regression)
}

// stop stops the monitor. It may be called more than once.
func (m *monitor) stop() {
	m.cancel()
	m.nodes.Wait()
}

func (m *monitor) regressions() []string {
	m.lock.Lock()
	defer m.lock.Unlock()
	return append([]string(nil), m.found...)
}
