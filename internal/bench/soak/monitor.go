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

// monitorInterval is the time between two looks at a node.
const monitorInterval = 100 * time.Millisecond

// monitor asks every node again and again what it holds, and notes each process
// that went back to an older version.
type monitor struct {
	cancel context.CancelFunc
	nodes  sync.WaitGroup
	lock   sync.Mutex
	found  []string
}

func watch(ctx context.Context, running *mesh.Mesh) *monitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &monitor{cancel: cancel}
	for _, node := range running.Nodes() {
		m.nodes.Go(func() { m.follow(ctx, node.Admin()) })
	}
	return m
}

// follow compares each answer with the highest before it from the same process.
func (m *monitor) follow(ctx context.Context, client *admin.Client) {
	var highest snapshot.Revision
	var process membership.Incarnation
	for wait.For(ctx, monitorInterval) == nil {
		status, err := client.Status(ctx)
		if err != nil {
			continue // killed, paused or restarting
		}
		if status.Incarnation != process {
			process, highest = status.Incarnation, 0
		}
		if status.Held.Revision < highest {
			m.note(fmt.Sprintf("%s held %d and then %d", status.Node, highest, status.Held.Revision))
		}
		highest = max(highest, status.Held.Revision)
	}
}

func (m *monitor) note(regression string) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.found = append(m.found, regression)
}

// stop ends the monitor and may be called again.
func (m *monitor) stop() {
	m.cancel()
	m.nodes.Wait()
}

func (m *monitor) regressions() []string {
	m.lock.Lock()
	defer m.lock.Unlock()
	return append([]string(nil), m.found...)
}
