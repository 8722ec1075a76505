package quota

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// ranks is how many nodes are ranked for a tenant: its owner and the one that stands in.
const ranks = 2

// owners ranks the nodes for each tenant by rendezvous hashing, so that a node that comes or goes
// changes the owners of its own tenants only. It is safe for concurrent use.
type owners struct {
	mutex      sync.Mutex
	generation uint64
	nodes      []string // IP addresses, sorted
	changedAt  time.Time
	ranked     map[string][]string // by tenant
}

func newOwners(now time.Time) *owners { return &owners{changedAt: now} }

// of returns the ranked nodes for a tenant, the number of nodes, and since when they are known.
func (o *owners) of(current *snapshot.Snapshot, tenant string, now time.Time) (ranked []string, nodes int, since time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ranked == nil || o.generation != current.Generation() {
		o.update(current, now)
	}
	ranked, known := o.ranked[tenant]
	if !known {
		ranked = rank(tenant, o.nodes)
		o.ranked[tenant] = ranked
	}
	return ranked, len(o.nodes), o.changedAt
}

// observe notes a change of the nodes as of now.
func (o *owners) observe(current *snapshot.Snapshot, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ranked == nil || o.generation != current.Generation() {
		o.update(current, now)
	}
}

func (o *owners) update(current *snapshot.Snapshot, now time.Time) {
	o.generation = current.Generation()
	nodes := make([]string, 0, current.InstanceCount())
	for instance := range current.AllInstances() {
		if address, err := netip.ParseAddrPort(instance.Address); err == nil {
			nodes = append(nodes, address.Addr().String())
		}
	}
	slices.Sort(nodes)
	nodes = slices.Compact(nodes)
	if o.ranked != nil && slices.Equal(nodes, o.nodes) {
		return
	}
	o.nodes, o.changedAt, o.ranked = nodes, now, make(map[string][]string)
}

// rank returns the nodes with the highest hashes, the highest first.
func rank(tenant string, nodes []string) []string {
	type weighted struct {
		node   string
		weight uint64
	}
	var best []weighted
	for _, node := range nodes {
		candidate := weighted{node, xxhash.Sum64String(tenant + "\x00" + node)}
		position, _ := slices.BinarySearchFunc(best, candidate, func(a, b weighted) int {
			if a.weight != b.weight {
				if a.weight > b.weight {
					return -1
				}
				return 1
			}
			return strings.Compare(a.node, b.node)
		})
		if position < ranks {
			best = slices.Insert(best, position, candidate)
			best = best[:min(len(best), ranks)]
		}
	}
	names := make([]string, len(best))
	for i := range best {
		names[i] = best[i].node
	}
	return names
}

// shareOf returns the share of the quota that a node of a rank grants.
func shareOf(rank int) float64 {
	if rank == 0 {
		return 1
	}
	return BackupShare
}
