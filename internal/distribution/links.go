package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// silentIntervals is the number of the peer's heartbeat intervals without a
	// message after which a link is considered dead.
	silentIntervals = 2.5
	// maxPeerInterval bounds the heartbeat interval that a peer may announce.
	maxPeerInterval = time.Minute
	// probeLifetime bounds the life of a probe, a link that only asks which version a
	// peer holds.
	probeLifetime = 5 * time.Second
	// simultaneousDialWindow is the age of a link up to which a second link to the same
	// peer is attributed to both sides dialling at the same time.
	simultaneousDialWindow = 5 * time.Second
)

type phase uint8

const (
	phaseDialing phase = 1 // no connection yet
	phaseHello   phase = 2 // Hello sent, the peer's not received yet
	phaseUp      phase = 3 // Hello exchanged
)

// link is one connection to a peer.
type link struct {
	id          LinkID
	node        membership.NodeID
	incarnation membership.Incarnation
	zone        string
	region      string
	address     string
	outgoing    bool
	probe       bool
	// acceptsChanges is set if the peer accepts changes of instances ahead of documents.
	acceptsChanges bool
	// takesOrigins is set if the peer accepts the origins of configurations.
	takesOrigins bool
	// acceptsReports is set if the peer accepts reports of reads of the source.
	acceptsReports bool
	reports        linkReports
	phase          phase

	openedAt     time.Time
	lastReceived time.Time
	lastSent     time.Time
	// sourceAgeSentAt is when this node last sent the peer its SourceAge.
	sourceAgeSentAt time.Time
	digestAt        time.Time
	// peerInterval is the heartbeat interval that the peer announced, ownInterval the
	// one that this node announced to the peer.
	peerInterval time.Duration
	ownInterval  time.Duration
	// awaitingRecheck is set after this process was suspended, until the peer answers.
	awaitingRecheck bool

	// held is the last known version that the peer has in force.
	held        wire.ShortVersion
	failedPulls int
	// announceAt is when to announce the version in force to the peer; zero: nothing
	// to announce.
	announceAt time.Time
	reading    wire.Reading
	// readingSince is when the peer's reading state last changed.
	readingSince time.Time
	// confirmedAt is when, as the peer reports, a reader last got a response from the source.
	confirmedAt time.Time
	// nextRecordPullAt is when records may be pulled from the peer again,
	// recordPullReceivedAt when the peer last pulled records.
	nextRecordPullAt     time.Time
	recordPullReceivedAt time.Time
}

// established reports whether the link is established: up and not a probe. Such a link
// carries flooded messages.
func (l *link) established() bool { return l.phase == phaseUp && !l.probe }

// deadAt returns when the link is considered dead.
func (l *link) deadAt() time.Time {
	return l.lastReceived.Add(time.Duration(silentIntervals * float64(l.peerInterval)))
}

// heartbeatAt returns when the next heartbeat is due. Any message replaces a heartbeat, except
// while this node reads the source: peers on coordination links then need its SourceAge regularly.
func (l *link) heartbeatAt(e *Engine) time.Time {
	const early = 0.9 // leaves time for the network delay
	since := l.lastSent
	if e.sourceReader.active && e.isCoordinationLink(l) {
		since = l.sourceAgeSentAt
	}
	return since.Add(time.Duration(early * float64(l.ownInterval)))
}

// deadline returns when the next timer of the link is due.
func (l *link) deadline(e *Engine) time.Time {
	if l.phase != phaseUp {
		return l.openedAt.Add(e.timing.DialTimeout)
	}
	if l.probe {
		return l.openedAt.Add(probeLifetime)
	}
	next := earliest(l.deadAt(), l.heartbeatAt(e), l.digestAt)
	if !l.announceAt.IsZero() {
		next = earliest(next, l.announceAt)
	}
	return next
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, other := range others {
		if other.Before(first) {
			first = other
		}
	}
	return first
}

func (event Connected) apply(e *Engine) {
	l := e.overlay.links[event.Link]
	if l == nil || l.phase != phaseDialing {
		return
	}
	l.phase = phaseHello
	e.sendHello(l)
}

// sendHello sends this node's Hello.
func (e *Engine) sendHello(l *link) {
	purpose := wire.PurposeLinkWithReports
	if l.probe {
		purpose = wire.PurposeProbe
	}
	l.ownInterval = e.intervalFor(l)
	e.send(&wire.Hello{
		Protocol:         wire.ProtocolVersion,
		Self:             e.table.Self(),
		Held:             wire.Short(e.push.heldVersion()),
		FleetDigest:      e.fleetDigest(),
		Purpose:          purpose,
		Interval:         l.ownInterval.Milliseconds(),
		CoordinationLink: e.isCoordinationLink(l),
	}, l.id)
}

// intervalFor returns the heartbeat interval of this node on a link.
func (e *Engine) intervalFor(l *link) time.Duration {
	if e.isCoordinationLink(l) {
		return e.timing.CoordinationHeartbeatInterval
	}
	return e.timing.HeartbeatInterval
}

// isGroupLink reports whether both ends are in the reader group of this node's zone.
func (e *Engine) isGroupLink(l *link) bool {
	current := e.currentRanking()
	return !l.probe && current.inGroup(e.options.Self.Node) && current.inGroup(l.node)
}

// isCoordinationLink reports whether both ends must learn promptly of changes of the other's reading
// state: as members of one reader group, or as candidates for the leading reader.
func (e *Engine) isCoordinationLink(l *link) bool {
	return e.isGroupLink(l) || !l.probe && e.currentRanking().areCandidates(e.options.Self.Node, l.node)
}

func (event DialFailed) apply(e *Engine) {
	if l := e.overlay.links[event.Link]; l != nil {
		e.forgetLink(l)
		e.dialFailed(l, event.Refused)
	}
}

func (event Accepted) apply(e *Engine) {
	hello := event.Hello
	l := &link{
		id:       event.Link,
		node:     hello.Self.Node,
		probe:    hello.Purpose == wire.PurposeProbe,
		phase:    phaseHello,
		openedAt: e.now,
	}
	reason, refused := e.refusalReason(l, hello)
	if refused {
		switch reason {
		case wire.GoodbyeFull:
			e.sendHello(l) // contains the version that this node holds
		case wire.GoodbyeProtocol:
			e.noteOtherProtocol(l.node)
		}
		e.closeLink(l, reason)
		return
	}
	e.overlay.add(l)
	e.sendHello(l)
	e.linkUp(l, hello)
}

// refusalReason reports whether to refuse an incoming link, and the reason.
func (e *Engine) refusalReason(l *link, hello *wire.Hello) (wire.GoodbyeReason, bool) {
	switch {
	case hello.Protocol != wire.ProtocolVersion:
		return wire.GoodbyeProtocol, true
	case l.probe:
		return wire.GoodbyeFull, e.overlay.countProbes() >= maxProbes
	case hello.Self.Node == e.options.Self.Node:
		return wire.GoodbyeDuplicate, true
	case e.refusesDuplicate(hello.Self):
		return wire.GoodbyeDuplicate, true
	case !e.isCoordinationLink(l) && e.overlay.countEstablished() >= e.maxLinksFor(hello):
		return wire.GoodbyeFull, true
	default:
		return 0, false
	}
}

// maxLinksFor returns the link limit for a peer. It is higher for peers that consider the link a
// coordination link while this node does not know that yet.
func (e *Engine) maxLinksFor(hello *wire.Hello) int {
	if hello.CoordinationLink {
		return e.options.MaxLinks + groupSize
	}
	return e.options.MaxLinks
}

// refusesDuplicate resolves duplicate links to one peer and reports whether to refuse the
// new one. If both sides dialled at the same time, the link that the lower NodeID dialled
// is kept. Otherwise the peer has lost the former link, and the new one replaces it.
func (e *Engine) refusesDuplicate(peer membership.Record) bool {
	former := e.overlay.linkTo(peer.Node)
	if former == nil {
		return false
	}
	young := e.now.Sub(former.openedAt) < simultaneousDialWindow
	sameProcess := former.phase != phaseUp || former.incarnation == peer.Incarnation
	if former.outgoing && young && sameProcess && e.options.Self.Node < peer.Node {
		return true
	}
	e.closeLink(former, wire.GoodbyeDuplicate)
	return false
}

// linkUp puts a link into phaseUp with the data of the peer's Hello.
func (e *Engine) linkUp(l *link, hello *wire.Hello) {
	l.phase = phaseUp
	l.node = hello.Self.Node
	l.incarnation = hello.Self.Incarnation
	l.zone, l.region = hello.Self.Zone, hello.Self.Region
	l.lastReceived = e.now
	l.lastSent = e.now
	l.digestAt = e.now.Add(e.jittered(e.timing.DigestInterval))
	l.held = hello.Held
	l.acceptsChanges = hello.Purpose.AcceptsChanges()
	l.takesOrigins = hello.Purpose.AcceptsOrigins()
	l.acceptsReports = hello.Purpose.AcceptsReports()
	e.setPeerInterval(l, hello.Interval)
	e.start.setProbeResult(l.node, probeAnswered)
	suspected := e.isSuspected(l.node)
	e.mergeRecords([]membership.Record{hello.Self}, l.id)
	if !l.probe {
		e.overlayLinkUp(l, hello, suspected)
	}
	e.peerVersionChanged(l)
	e.finishProbe(l)
}

func (e *Engine) overlayLinkUp(l *link, hello *wire.Hello, suspected bool) {
	e.overlay.peer(l.node).reset()
	e.log(LogDebug, "link up with %s", l.node)
	if suspected {
		e.sendSuspicions(l)
	}
	// The peer that dialled pulls, in both directions, but it may wait for another answer. A node without
	// a list is not contacted by more peers until it has one.
	if hello.FleetDigest != e.fleetDigest() && (l.outgoing || len(e.list.entries) == 0) {
		e.pullRecords(l)
	}
	if e.isCoordinationLink(l) {
		e.sendHeartbeat(l) // reports whether this node reads the source
	}
	e.sendRefusal(l)
	e.sendAllCrashes(l)
	e.sendRecentChanges(l)
	e.sendNewestReport(l)
	e.overlayChanged()
}

// setPeerInterval sets the heartbeat interval that the peer announced, or the default if that is
// out of range.
func (e *Engine) setPeerInterval(l *link, milliseconds int64) {
	interval := time.Duration(milliseconds) * time.Millisecond
	if milliseconds <= 0 || milliseconds > maxPeerInterval.Milliseconds() {
		interval = e.timing.HeartbeatInterval
	}
	l.peerInterval = interval
}

func (event LinkDown) apply(e *Engine) {
	l := e.overlay.links[event.Link]
	if l == nil {
		return
	}
	e.forgetLink(l)
	switch {
	case event.Cause == DownFault:
		e.delayFaultyPeer(l, "it violated the protocol")
	case event.Cause == DownSlow:
		e.overlay.peer(l.node).failed(e)
		e.log(LogWarning, "closed the link to %s: its send queue was full", l.node)
	case l.phase != phaseUp:
		e.dialFailed(l, false)
	case !l.probe:
		e.linkLost(l)
	}
}

// closeLink closes a link with a Goodbye, if its connection is open.
func (e *Engine) closeLink(l *link, reason wire.GoodbyeReason) {
	if l.phase != phaseDialing {
		e.send(&wire.Goodbye{Reason: reason}, l.id)
	}
	e.dropLink(l)
}

// dropLink closes a link without a Goodbye.
func (e *Engine) dropLink(l *link) {
	e.act(CloseLink{Link: l.id})
	e.forgetLink(l)
}

// forgetLink removes a link and all state that refers to it.
func (e *Engine) forgetLink(l *link) {
	e.overlay.remove(l)
	e.cancelPullsOn(l)
	e.repair.onLinkClosed(l)
	e.overlayChanged()
}

// closeFaultyLink closes a link whose peer violated the protocol.
func (e *Engine) closeFaultyLink(l *link, problem string) {
	e.dropLink(l)
	e.delayFaultyPeer(l, problem)
}

func (e *Engine) delayFaultyPeer(l *link, problem string) {
	e.log(LogWarning, "closed the link to %s: %s", l.node, problem)
	if l.node != "" {
		e.overlay.peer(l.node).retryAt = e.now.Add(e.jittered(e.timing.FaultWait))
	}
}
