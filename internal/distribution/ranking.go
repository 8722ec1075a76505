package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/winchhead/winchhead/internal/membership"
)

// groupSize is the size of a zone's reader group: the nodes that may read the source and
// take over from each other. They keep direct links to each other.
const groupSize = 4

// maxLeadCandidates is how many of the first readers in global rank may lead: the leader polls
// the source at shorter intervals than the other readers. Candidates keep links to each other,
// so that each knows whether those before it can read.
const maxLeadCandidates = 4

// gatewaysPerZone is how many nodes of a zone dial nodes in other zones and regions.
const gatewaysPerZone = 4

// Salts make the rendezvous hashes for different purposes independent.
const (
	saltReader  = "reader\x00"
	saltGateway = "gateway\x00"
	saltRing    = "ring\x00"
)

// ranking is the order of the nodes in one view of the fleet by rendezvous hash. All nodes
// with the same view compute the same order.
type ranking struct {
	view *membership.View
	// group is the reader group of this node's zone, in rank.
	group []membership.NodeID
	// readers holds the first ReadersPerZone nodes of each zone in global rank.
	readers []membership.NodeID
	// gateway is set if this node is one of its zone's gateways.
	gateway bool
}

type rankedNode struct {
	node membership.NodeID
	rank uint64
}

// rank returns the hash by which a node is ordered: lower comes first.
func rank(salt string, node membership.NodeID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(salt)
	_, _ = digest.WriteString(string(node))
	return digest.Sum64()
}

// isEligible reports whether a member may be a reader or a gateway.
func isEligible(member *membership.Member) bool {
	return !member.Leaving && !member.Suspected && member.Record.State != membership.StateGone
}

// currentRanking returns the ranking over the current view.
func (e *Engine) currentRanking() *ranking {
	if e.ranking.view != e.view {
		e.ranking = rankView(e.view, e.table.Self(), e.options.ReadersPerZone)
	}
	return &e.ranking
}

// rankView computes the ranking for the node self.
func rankView(view *membership.View, self membership.Record, readersPerZone int) ranking {
	inGroup := max(groupSize, readersPerZone)
	zones := make(map[string]*firstNodes)
	gateways := firstNodes{limit: gatewaysPerZone}
	for member := range view.All() {
		if !isEligible(member) {
			continue
		}
		node, zone := member.Record.Node, member.Record.Zone
		first := zones[zone]
		if first == nil {
			first = &firstNodes{limit: inGroup}
			zones[zone] = first
		}
		first.add(rankedNode{node, rank(saltReader, node)})
		if zone == self.Zone {
			gateways.add(rankedNode{node, rank(saltGateway, node)})
		}
	}
	var readers []rankedNode
	for _, first := range zones {
		readers = append(readers, first.nodes[:min(readersPerZone, len(first.nodes))]...)
	}
	sortRanked(readers)
	result := ranking{view: view, readers: nodeIDs(readers), gateway: slices.Contains(nodeIDs(gateways.nodes), self.Node)}
	if own := zones[self.Zone]; own != nil {
		result.group = nodeIDs(own.nodes)
	}
	return result
}

// firstNodes keeps the lowest-ranked of the nodes added, up to limit, in order.
type firstNodes struct {
	limit int
	nodes []rankedNode
}

func (f *firstNodes) add(ranked rankedNode) {
	if f.limit == 0 || len(f.nodes) == f.limit && compareRanked(ranked, f.nodes[f.limit-1]) > 0 {
		return
	}
	position, _ := slices.BinarySearchFunc(f.nodes, ranked, compareRanked)
	f.nodes = slices.Insert(f.nodes, position, ranked)
	f.nodes = f.nodes[:min(len(f.nodes), f.limit)]
}

func nodeIDs(ranked []rankedNode) []membership.NodeID {
	nodes := make([]membership.NodeID, len(ranked))
	for i := range ranked {
		nodes[i] = ranked[i].node
	}
	return nodes
}

func compareRanked(a, b rankedNode) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.node, b.node))
}

func sortRanked(nodes []rankedNode) { slices.SortFunc(nodes, compareRanked) }

// inGroup reports whether a node is in the reader group of this node's zone.
func (r *ranking) inGroup(node membership.NodeID) bool { return slices.Contains(r.group, node) }

// candidates returns the readers that may lead, in order of precedence.
func (r *ranking) candidates() []membership.NodeID {
	return r.readers[:min(len(r.readers), maxLeadCandidates)]
}

// candidatesBefore returns the candidates that take precedence over a node. It reports false if
// the node is not a candidate itself.
func (r *ranking) candidatesBefore(node membership.NodeID) (before []membership.NodeID, may bool) {
	position := slices.Index(r.candidates(), node)
	if position < 0 {
		return nil, false
	}
	return r.readers[:position], true
}

// areCandidates reports whether both nodes may lead.
func (r *ranking) areCandidates(one, other membership.NodeID) bool {
	return slices.Contains(r.candidates(), one) && slices.Contains(r.candidates(), other)
}

// globalRank returns a node's position among the readers of all zones. Nodes that are not
// among the first of their zone come after those.
func (r *ranking) globalRank(node membership.NodeID) int {
	if position := slices.Index(r.readers, node); position >= 0 {
		return position
	}
	return len(r.readers)
}
