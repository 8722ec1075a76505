package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// The links that a node dials: near ones first, some across zones and regions.
const (
	zoneLinks     = 2
	regionLinks   = 1
	remoteLinks   = 1 // gateways only
	leastLinks    = 3 // in all, where zones or regions are too small
	isolatedDials = 3 // at once, while there is no link at all
)

const (
	// maintainInterval is the longest time between two looks at the overlay.
	maintainInterval = time.Second
	// maintainDelay lets changes that come together be looked at once.
	maintainDelay = 20 * time.Millisecond
	// verifyDelay is how long the higher of two nodes that lost their link leaves
	// dialling to the other.
	verifyDelay = 300 * time.Millisecond
	// doubtfulIntervals is how many of the peer's heartbeat intervals may pass
	// before a link is no longer relied on.
	doubtfulIntervals = 1.3
	// suspicionFailures is how many dials in a row must fail before a member to
	// which there was no link is reported as unreachable.
	suspicionFailures = 2
	// maxProbes bounds the peers that ask what this node holds at one time.
	maxProbes = 32
	// suspectedDialsInFlight bounds how often the whole fleet dials one suspected
	// member: as often as this many nodes would alone.
	suspectedDialsInFlight = 8
)

// distance tells how far away a peer is.
type distance uint8

const (
	distanceZone   distance = 0 // same zone
	distanceRegion distance = 1 // same region, other zone
	distanceRemote distance = 2 // other region
	distances               = 3
)

// overlay holds the links and what is known of peers as partners of links.
type overlay struct {
	links map[LinkID]*link
	// order holds the links in the order in which they began. It is replaced, not
	// changed, when a link goes, so that a loop over it may remove links.
	order            []*link
	peers            map[membership.NodeID]*peer
	nextID           LinkID
	maintainAt       time.Time
	retrySuspectedAt time.Time
}

// peer is what a node remembers of another one between links.
type peer struct {
	failures int
	// retryAt is when the peer may be dialled again.
	retryAt time.Time
	// lost is set from the loss of a link until the next link.
	lost bool
	// verifyAt is when to dial a peer whose link was lost.
	verifyAt time.Time
}

func newOverlay() overlay {
	return overlay{links: make(map[LinkID]*link), peers: make(map[membership.NodeID]*peer), nextID: 1}
}

func (o *overlay) add(l *link) {
	o.links[l.id] = l
	o.order = append(o.order[:len(o.order):len(o.order)], l)
}

func (o *overlay) remove(l *link) {
	delete(o.links, l.id)
	order := make([]*link, 0, len(o.order))
	for _, other := range o.order {
		if other != l {
			order = append(order, other)
		}
	}
	o.order = order
}

// linkTo returns the link to a node that is up or on its way, without probes.
func (o *overlay) linkTo(node membership.NodeID) *link {
	for _, l := range o.order {
		if l.node == node && !l.probe {
			return l
		}
	}
	return nil
}

func (o *overlay) countProbes() int {
	count := 0
	for _, l := range o.order {
		if l.probe && !l.outgoing {
			count++
		}
	}
	return count
}

func (o *overlay) countLasting() int {
	count := 0
	for _, l := range o.order {
		if l.lasting() {
			count++
		}
	}
	return count
}

// lastingIDs returns the links that carry what is flooded and that keep accepts.
func (o *overlay) lastingIDs(keep func(*link) bool) []LinkID {
	var ids []LinkID
	for _, l := range o.order {
		if l.lasting() && keep(l) {
			ids = append(ids, l.id)
		}
	}
	return ids
}

func (o *overlay) peer(node membership.NodeID) *peer {
	p := o.peers[node]
	if p == nil {
		p = &peer{}
		o.peers[node] = p
	}
	return p
}

func (p *peer) linked() { *p = peer{} }

func (p *peer) failed(e *Engine) {
	p.failures++
	p.retryAt = e.now.Add(e.backoff(p.failures, e.timing.RedialMin, e.timing.RedialMax))
}

// overlayChanged asks for a look at the overlay soon.
func (e *Engine) overlayChanged() {
	soon := e.now.Add(maintainDelay)
	if e.overlay.maintainAt.IsZero() || soon.Before(e.overlay.maintainAt) {
		e.overlay.maintainAt = soon
	}
}

// linkLost handles a link that ended without Goodbye: the peer is dialled again
// at once, and reported as unreachable if that fails.
func (e *Engine) linkLost(l *link) {
	e.log(LogDebug, "lost the link to %s", l.node)
	p := e.overlay.peer(l.node)
	p.lost = true
	p.verifyAt = e.now
	if e.options.Self.Node > l.node {
		p.verifyAt = e.now.Add(verifyDelay)
	}
	e.overlayChanged()
}

// dialFailed handles a peer that could not be reached.
func (e *Engine) dialFailed(l *link) {
	if l.node == "" || !l.outgoing {
		return
	}
	p := e.overlay.peer(l.node)
	p.failed(e)
	e.start.peerAnswered(l.node, answerUnreachable)
	if p.lost || p.failures >= suspicionFailures {
		e.suspect(l.node)
	}
}

// goodbye handles a peer that closes the link on purpose.
func (e *Engine) goodbye(l *link, reason wire.GoodbyeReason) {
	e.dropLink(l)
	p := e.overlay.peer(l.node)
	switch reason {
	case wire.GoodbyeFull, wire.GoodbyeProtocol:
		p.retryAt = e.now.Add(e.jittered(e.timing.RefusedWait))
	default:
		p.retryAt = e.now.Add(e.jittered(e.timing.RedialMin))
	}
}

func (e *Engine) runOverlayTimers() {
	if e.passed(e.overlay.maintainAt) {
		e.overlay.maintainAt = e.now.Add(maintainInterval)
		e.verifyLostPeers()
		e.dialGroup()
		e.dialSuccessor()
		e.dialWanted()
		e.closeUnneeded()
	}
	if e.passed(e.overlay.retrySuspectedAt) {
		e.retrySuspected()
	}
}

// verifyLostPeers dials peers whose link was lost.
func (e *Engine) verifyLostPeers() {
	for _, member := range e.lostMembers() {
		p := e.overlay.peer(member.Record.Node)
		if !e.passed(p.verifyAt) {
			e.overlay.maintainAt = earliest(e.overlay.maintainAt, p.verifyAt)
			continue
		}
		p.verifyAt = time.Time{}
		if e.overlay.linkTo(member.Record.Node) == nil {
			e.dial(&member, false)
		}
	}
}

// lostMembers returns the members still to be verified, sorted by NodeID.
func (e *Engine) lostMembers() []membership.Member {
	var lost []membership.Member
	for node, p := range e.overlay.peers {
		if p.verifyAt.IsZero() {
			continue
		}
		member, known := e.view.Member(node)
		if !known {
			p.verifyAt = time.Time{}
			continue
		}
		lost = append(lost, member)
	}
	slices.SortFunc(lost, func(a, b membership.Member) int {
		return cmp.Compare(a.Record.Node, b.Record.Node)
	})
	return lost
}

// dial opens a link to a member. After every second failure the address in the
// platform's list is tried, where it differs.
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

// mayDial reports whether a member is a candidate for a new link.
func (e *Engine) mayDial(member *membership.Member) bool {
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

// wantedLinks returns how many links to dial by distance.
func (e *Engine) wantedLinks() [distances]int {
	wanted := [distances]int{zoneLinks, regionLinks, 0}
	if e.currentRanking().gateway {
		wanted[distanceRemote] = remoteLinks
	}
	return wanted
}

// dialGroup links the nodes of the reader group with each other.
func (e *Engine) dialGroup() {
	current := e.currentRanking()
	if !current.inGroup(e.options.Self.Node) {
		return
	}
	for _, node := range current.group {
		member, known := e.view.Member(node)
		if known && e.mayDial(&member) && e.overlay.linkTo(node) == nil {
			e.dial(&member, false)
		}
	}
}

// dialSuccessor keeps a link to the next node of the own zone on a ring of
// hashes. So each node has a neighbour that dials it: one that comes back without
// the list, when all that had links to it are gone as well, is found again.
func (e *Engine) dialSuccessor() {
	member := e.successor()
	if member != nil && e.overlay.linkTo(member.Record.Node) == nil {
		e.dial(member, false)
	}
}

// successor returns the next node of the own zone on the ring that may be linked,
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

// dialWanted fills up the links to each distance in the order of the own
// rendezvous hash. Links dialled before are kept.
func (e *Engine) dialWanted() {
	wanted := e.wantedLinks()
	counts := e.countOutgoing()
	for d := range distances {
		if missing := wanted[d] - counts[d]; missing > 0 {
			e.dialNearest(missing, func(member *membership.Member) bool {
				return e.distanceTo(member.Record.Zone, member.Record.Region) == distance(d)
			})
		}
	}
	if missing := leastLinks - e.countSound(); missing > 0 {
		e.dialNearest(missing, func(*membership.Member) bool { return true })
	}
}

func (e *Engine) countSound() int {
	count := 0
	for _, l := range e.overlay.order {
		if !l.probe && e.isSound(l) {
			count++
		}
	}
	return count
}

func (e *Engine) countOutgoing() (counts [distances]int) {
	for _, l := range e.overlay.order {
		if l.outgoing && !l.probe && !e.isGroupLink(l) && e.isSound(l) {
			counts[e.distanceTo(l.zone, l.region)]++
		}
	}
	return counts
}

// isSound reports whether a link can be relied on. One that missed a heartbeat, or
// whose peer takes long to answer, is replaced before it counts as dead, so that a
// node all of whose peers sleep is not cut off from changes for long.
func (e *Engine) isSound(l *link) bool {
	if l.phase != phaseUp {
		return e.now.Before(l.openedAt.Add(e.timing.AnswerTime))
	}
	return e.now.Before(l.lastReceived.Add(time.Duration(doubtfulIntervals * float64(l.peerInterval))))
}

// dialNearest dials the first of the accepted members in rank; a member that is
// linked already counts as dialled.
func (e *Engine) dialNearest(count int, accept func(*membership.Member) bool) {
	for _, candidate := range e.candidates(count, accept) {
		if e.overlay.linkTo(candidate.node) == nil {
			member, _ := e.view.Member(candidate.node)
			e.dial(&member, false)
		}
	}
}

// candidates returns the accepted members that may be dialled, or are linked, in
// the order of the own rendezvous hash.
func (e *Engine) candidates(count int, accept func(*membership.Member) bool) []rankedNode {
	ranked := firstNodes{limit: count}
	salt := string(e.options.Self.Node) + "\x00"
	for member := range e.view.All() {
		if !e.mayDial(member) || !accept(member) {
			continue
		}
		node := member.Record.Node
		if l := e.overlay.linkTo(node); l != nil && (!e.isSound(l) || l.outgoing && !e.isGroupLink(l)) {
			continue // not relied on, or counted already
		}
		ranked.add(rankedNode{node: node, rank: rank(salt, node)})
	}
	return ranked.nodes
}
