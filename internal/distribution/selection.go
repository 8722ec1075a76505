package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

// The number of links that a node dials. Only the gateways of a zone dial nodes in other
// zones and regions, so that traffic between zones does not grow with the size of a zone.
const (
	zoneLinks   = 2
	regionLinks = 1
	remoteLinks = 1
	minLinks    = 3 // in total, if zones or regions are too small for the numbers above
)

// maxPendingDials bounds the unanswered dials, so that slow answers do not cause ever more
// dials.
const maxPendingDials = 6

// A node that searches for peers dials maxSearchDials of them in each searchInterval, well above the time in
// which a reachable peer answers, until maxSearchPending dials are unanswered.
const (
	searchInterval   = 100 * time.Millisecond
	maxSearchDials   = 32
	maxSearchPending = 128
)

// unreliableAfterIntervals is how many of the peer's heartbeat intervals of silence make a
// link unreliable.
const unreliableAfterIntervals = 1.3

// distance classifies peers by zone and region.
type distance uint8

const (
	distanceZone   distance = 0 // same zone
	distanceRegion distance = 1 // same region, other zone
	distanceRemote distance = 2 // other region
	distanceCount           = 3
)

// dial opens a link to a member. After an odd number of failures it uses the address from
// the platform's list, if there is one, in place of the address in the member's record.
func (e *Engine) dial(member *membership.Member, probe bool) {
	record := &member.Record
	address := record.PeerAddress
	if member.ListedAddress != "" && e.overlay.peer(record.Node).failures%2 == 1 {
		address = member.ListedAddress
	}
	l := &link{
		id:       e.overlay.nextID,
		node:     record.Node,
		zone:     record.Zone,
		region:   record.Region,
		address:  address,
		outgoing: true,
		probe:    probe,
		phase:    phaseDialing,
		openedAt: e.now,
	}
	const step = 2 // even numbers belong to incoming links
	e.overlay.nextID += step
	e.overlay.add(l)
	e.act(Dial{Link: l.id, Node: l.node, Address: address})
}

// mayDial reports whether a member is a candidate for a new ordinary link.
func (e *Engine) mayDial(member *membership.Member) bool {
	p := e.overlay.peers[member.Record.Node]
	return e.mayDialCoordinationLink(member) && (p == nil || !e.now.Before(p.fullUntil))
}

// mayDialCoordinationLink reports whether a member is a candidate for a new coordination link. Peers
// accept those beyond their limit of ordinary links.
func (e *Engine) mayDialCoordinationLink(member *membership.Member) bool {
	record := &member.Record
	if record.Node == e.options.Self.Node || member.Leaving || member.Suspected || record.PeerAddress == "" {
		return false
	}
	p := e.overlay.peers[record.Node]
	return p == nil || !e.now.Before(p.retryAt)
}

func (e *Engine) distanceTo(zone, region string) distance {
	switch {
	case region != e.options.Self.Region:
		return distanceRemote
	case zone != e.options.Self.Zone:
		return distanceRegion
	default:
		return distanceZone
	}
}

// wantedLinks returns how many links this node dials for each distance.
func (e *Engine) wantedLinks() [distanceCount]int {
	if e.currentRanking().gateway {
		return [distanceCount]int{zoneLinks, regionLinks, remoteLinks}
	}
	return [distanceCount]int{zoneLinks, 0, 0}
}

// dialGroup dials the other nodes of the reader group if this node is in it.
func (e *Engine) dialGroup() {
	current := e.currentRanking()
	if !current.inGroup(e.options.Self.Node) {
		return
	}
	e.dialNodes(current.group)
}

// dialCandidates dials the lead candidates that take precedence over this node. Only readers
// do so: in a fleet that starts, most nodes consider themselves candidates until they read.
func (e *Engine) dialCandidates() {
	if !e.sourceReader.active {
		return
	}
	before, _ := e.currentRanking().candidatesBefore(e.options.Self.Node)
	e.dialNodes(before)
}

// dialNodes opens the missing coordination links to some nodes.
func (e *Engine) dialNodes(nodes []membership.NodeID) {
	for _, node := range nodes {
		member, known := e.view.Member(node)
		if known && e.mayDialCoordinationLink(&member) && e.overlay.linkTo(node) == nil {
			e.dial(&member, false)
		}
	}
}

// dialSuccessor keeps a link to the next node of this node's zone on a hash ring, so that
// each node has a neighbour that dials it. A node that restarts without the list, after all
// nodes with links to it are gone as well, is thus found again.
func (e *Engine) dialSuccessor() {
	member := e.successor()
	if member != nil && e.overlay.linkTo(member.Record.Node) == nil {
		e.dial(member, false)
	}
}

// successor returns the next node of this node's zone on the ring that may be dialled, or
// nil if there is none.
func (e *Engine) successor() *membership.Member {
	own := rank(saltRing, e.options.Self.Node)
	var next *membership.Member
	var nearest uint64
	for member := range e.view.All() {
		record := &member.Record
		if e.distanceTo(record.Zone, record.Region) != distanceZone || !e.mayDial(member) {
			continue
		}
		// The difference wraps around, as the ring does.
		if ahead := rank(saltRing, record.Node) - own; next == nil || ahead < nearest {
			next, nearest = member, ahead
		}
	}
	return next
}

// dialWanted dials the missing links for each distance, in the order of this node's
// rendezvous hash. Existing links are kept.
func (e *Engine) dialWanted() {
	wanted := e.wantedLinks()
	counts := e.countOutgoing()
	for d := range distanceCount {
		if missing := wanted[d] - counts[d]; missing > 0 {
			e.dialNearest(missing, func(member *membership.Member) bool {
				return e.distanceTo(member.Record.Zone, member.Record.Region) == distance(d)
			})
		}
	}
	anyMember := func(*membership.Member) bool { return true }
	if missing := minLinks - e.countReliable(); missing > 0 {
		e.dialNearest(missing, anyMember)
	}
	if e.searchesPeers() {
		e.dialNearest(maxSearchDials, anyMember)
	}
}

// searchesPeers reports whether this node hears from no peer and cannot read the source either: any peer that
// answers may bring the newest version.
func (e *Engine) searchesPeers() bool {
	return e.isIsolated() && e.sourceReader.failures > 0
}

// pendingDialLimit returns how many unanswered dials there may be. A node that searches for peers counts only
// those that a reachable peer may still answer.
func (e *Engine) pendingDialLimit() int {
	if !e.searchesPeers() {
		return maxPendingDials
	}
	overdue := 0
	for _, l := range e.overlay.order {
		if !l.probe && l.phase != phaseUp && e.now.Sub(l.openedAt) >= searchInterval {
			overdue++
		}
	}
	return min(maxSearchDials+overdue, maxSearchPending)
}

// countPendingDials counts the links that are not up yet, overdue ones included.
func (e *Engine) countPendingDials() int {
	count := 0
	for _, l := range e.overlay.order {
		if !l.probe && l.phase != phaseUp {
			count++
		}
	}
	return count
}

// countReliable counts the reliable links of any direction.
func (e *Engine) countReliable() int {
	count := 0
	for _, l := range e.overlay.order {
		if !l.probe && e.isReliable(l) {
			count++
		}
	}
	return count
}

// countOutgoing counts the reliable ordinary links that this node dialled, by distance.
func (e *Engine) countOutgoing() (counts [distanceCount]int) {
	for _, l := range e.overlay.order {
		if l.outgoing && !l.probe && !e.isCoordinationLink(l) && e.isReliable(l) {
			counts[e.distanceTo(l.zone, l.region)]++
		}
	}
	return counts
}

// isReliable reports whether a link counts towards those wanted. A link that missed a
// heartbeat, or whose peer is slow to answer the dial, is replaced before it counts as dead,
// so that a node all of whose peers are suspended misses changes for a short time only. No link
// of an isolated node is reliable.
func (e *Engine) isReliable(l *link) bool {
	if e.isLate() {
		return true // this process is short of CPU time, and more dials would use more of it
	}
	if l.phase != phaseUp {
		return e.now.Before(l.openedAt.Add(e.timing.AnswerTime))
	}
	if e.isIsolated() {
		return false
	}
	return e.now.Before(l.lastReceived.Add(time.Duration(unreliableAfterIntervals * float64(l.peerInterval))))
}

// dialNearest dials the first accepted members in rank. A member with an incoming link
// counts as dialled.
func (e *Engine) dialNearest(count int, accept func(*membership.Member) bool) {
	count = min(count, e.pendingDialLimit()-e.countPendingDials())
	for _, candidate := range e.candidates(count, accept) {
		if e.overlay.linkTo(candidate.node) == nil {
			member, _ := e.view.Member(candidate.node)
			e.dial(&member, false)
		}
	}
}

// candidates returns the first accepted members that may be dialled or have an incoming
// link, in the order of this node's rendezvous hash.
func (e *Engine) candidates(count int, accept func(*membership.Member) bool) []rankedNode {
	ranked := firstNodes{limit: max(count, 0)}
	salt := string(e.options.Self.Node) + "\x00"
	for member := range e.view.All() {
		if !e.mayDial(member) || !accept(member) {
			continue
		}
		node := member.Record.Node
		if l := e.overlay.linkTo(node); l != nil && (!e.isReliable(l) || l.outgoing && !e.isCoordinationLink(l)) {
			continue // unreliable, or counted already
		}
		ranked.add(rankedNode{node: node, rank: rank(salt, node)})
	}
	return ranked.nodes
}
