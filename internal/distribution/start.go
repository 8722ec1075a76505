package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// maxProbedPeers is how many reachable members a node without a version asks before it
// trusts the source to be current.
const maxProbedPeers = 16

// probeResult is the outcome of asking a member for the version that it holds.
type probeResult uint8

const (
	probePending     probeResult = 1
	probeAnswered    probeResult = 2
	probeUnreachable probeResult = 3
)

// startState decides when a node may trust the source. A node without a version asks
// peers first, so that a stale source cannot install a revision older than one that a
// peer holds. A node that was suspended asks its peers what it missed.
type startState struct {
	// startedAt is the time of the first event.
	startedAt time.Time
	// readAloneAt is when a node that still holds nothing reads the source whatever it knows of others.
	// It is spread widely, so that the nodes of a large fleet do not all read at the same time.
	readAloneAt time.Time
	// firstListAt is when the node first reads the platform's member list.
	firstListAt time.Time
	// settledAt is when a node that holds a version may read the source; it is jittered,
	// so that readers do not all begin at the same time.
	settledAt time.Time
	// probeResults holds the outcome for each member asked; the first was asked at
	// firstProbeAt.
	probeResults map[membership.NodeID]probeResult
	firstProbeAt time.Time
	// knowsFleet is set once fleetKnown has returned true.
	knowsFleet bool
	// lateAt is when the process last ran late.
	lateAt time.Time
	// recheckUntil is the end of the wait for peers after a suspension; zero: a peer has
	// answered, or the wait is over.
	recheckUntil time.Time
}

// begin starts the timers at the first event.
func (e *Engine) begin() {
	if e.start.startedAt.IsZero() {
		e.start.startedAt = e.now
		e.start.settledAt = e.now.Add(e.jittered(e.timing.StartSettle))
		e.start.readAloneAt = e.now.Add(e.timing.ReadAloneWait + time.Duration(e.random.Int64N(int64(e.timing.ReadAloneSpread)+1)))
		e.start.firstListAt = e.now.Add(time.Duration(e.random.Int64N(int64(e.timing.FirstListSpread) + 1)))
		e.start.probeResults = make(map[membership.NodeID]probeResult)
		e.fleet.expireAt = e.now.Add(e.jittered(e.timing.ExpireInterval))
		e.overlay.maintainAt = e.now
		e.overlay.retrySuspectedAt = e.now.Add(e.jittered(e.timing.SuspectedRetry))
	}
}

// noticeDelay detects that the process runs later than scheduled. With a small delay it
// lacks CPU time: missing messages and timeouts then say little about its peers. With a
// large delay it was suspended.
func (e *Engine) noticeDelay() {
	if e.wakeAt.IsZero() {
		return
	}
	switch late := e.now.Sub(e.wakeAt); {
	case late >= e.timing.PauseThreshold:
		e.onWakeUp()
	case late >= e.timing.LateThreshold:
		e.ranLate(late)
	}
}

// ranLate extends the deadlines of links by the time that this process lost.
func (e *Engine) ranLate(late time.Duration) {
	e.start.lateAt = e.now
	e.freshnessRanLate()
	for _, l := range e.overlay.order {
		l.lastReceived = earliest(l.lastReceived.Add(late), e.now)
		l.openedAt = earliest(l.openedAt.Add(late), e.now)
	}
}

// isLate reports whether the process ran late within LatePeriod, so that its own
// timeouts are no evidence against a peer.
func (e *Engine) isLate() bool {
	return !e.start.lateAt.IsZero() && e.now.Sub(e.start.lateAt) < e.timing.LatePeriod
}

// onWakeUp handles a process that was suspended, whose state may be outdated. It asks its
// peers for a digest and does not read the source until one answers. If none does within
// RecheckWait, it drops the links.
func (e *Engine) onWakeUp() {
	e.log(LogInfo, "slept for %s; checking its links before it reads the source again", e.now.Sub(e.wakeAt).Round(time.Millisecond))
	e.start.recheckUntil = e.now.Add(e.timing.RecheckWait)
	e.freshness.confirmedAt, e.freshness.pending = time.Time{}, nil
	e.countFreshnessFrom()
	for version, pull := range e.push.pulls {
		pull.sentAt = e.now
		e.push.pulls[version] = pull
	}
	for _, l := range e.overlay.order {
		if l.phase != phaseUp || l.probe {
			l.openedAt = e.now
			continue
		}
		l.awaitingRecheck = true
		l.lastReceived = e.now
		e.sendDigest(l, wire.DigestAsk)
	}
}

// peerConfirmed ends the recheck after a suspension.
func (s *startState) peerConfirmed() { s.recheckUntil = time.Time{} }

// endRecheck drops the links still awaiting an answer if no peer has answered within
// RecheckWait after a suspension.
func (e *Engine) endRecheck() {
	if !e.passed(e.start.recheckUntil) {
		return
	}
	e.start.recheckUntil = time.Time{}
	for _, l := range e.overlay.order {
		if l.awaitingRecheck {
			e.dropLink(l)
			e.linkLost(l)
		}
	}
}

// mayRead reports whether the node may act as a reader.
func (s *startState) mayRead(e *Engine) bool {
	if !s.recheckUntil.IsZero() {
		return false
	}
	if e.push.heldVersion().IsZero() {
		if !e.options.SourceIsCurrent {
			return s.peersHoldNothing(e)
		}
		return s.listKnown(e) && !e.defersToListed() || !e.now.Before(s.readAloneAt)
	}
	return s.fleetKnown(e) && s.settled(e)
}

// settled reports whether the node has had time to learn of the rest of the fleet.
func (s *startState) settled(e *Engine) bool {
	return !e.now.Before(s.settledAt)
}

// justSettled reports whether the node settled less than TakeOverDelay ago.
func (s *startState) justSettled(e *Engine) bool {
	return s.settled(e) && e.now.Sub(s.settledAt) < e.timing.TakeOverDelay
}

// listKnown reports whether the view contains a list or a sample of it that is not empty, read by this
// node or received from a peer. Without one, as while all instances start together, each node of a
// starting fleet takes itself for the only reader of its zone; the reads of all of them together may
// take longer than any of them waits.
func (s *startState) listKnown(e *Engine) bool {
	return len(e.list.entries) > 0 && e.fleet.notifyAt.IsZero()
}

// defersToListed reports whether this node leaves reading to listed nodes because it is not listed
// itself. Starting nodes of a large fleet know the same sample of the list, and each would otherwise
// rank itself among the few nodes of its zone in it.
func (e *Engine) defersToListed() bool {
	return len(e.list.entries[e.options.Self.Node].Members) == 0
}

// fleetKnown reports whether a node that got its version from a peer knows enough of
// the fleet to determine its rank: its view contains a list, read by itself or received
// from a peer, or StartListWait has passed without one. Once true it stays true. A node
// without a list assumes that its zone has few nodes: if many start while the platform
// is down, all of them would read the source.
func (s *startState) fleetKnown(e *Engine) bool {
	switch {
	case s.knowsFleet:
	case e.members.hasRead || len(e.list.entries) > 0:
		s.knowsFleet = e.fleet.notifyAt.IsZero()
	default:
		s.knowsFleet = !e.now.Before(s.startedAt.Add(e.timing.StartListWait))
	}
	return s.knowsFleet
}

// peersHoldNothing reports whether a node without a version has asked enough peers and
// found none that holds one. It probes peers as needed.
func (s *startState) peersHoldNothing(e *Engine) bool {
	if e.push.newest() != nil {
		return e.sourceReader.active // a verified document is about to be adopted
	}
	if len(e.linksWithNewerVersion()) > 0 || len(e.push.pulls) > 0 {
		return false
	}
	if !s.listSettled(e) {
		return false
	}
	if e.now.Before(s.firstProbeAt.Add(e.timing.StartPeerWait)) || s.firstProbeAt.IsZero() {
		s.probePeers(e)
		if s.count(probePending) > 0 {
			return false
		}
	}
	return !e.now.Before(s.startedAt.Add(e.timing.MinStartWait))
}

// listSettled reports whether the list was read and is in the view, or cannot be read.
// A node without a list assumes that it is alone in its zone, so it waits for a list
// until StartListWait has passed.
func (s *startState) listSettled(e *Engine) bool {
	if e.members.hasRead {
		return e.fleet.notifyAt.IsZero()
	}
	return e.members.failures > 0 && !e.now.Before(s.startedAt.Add(e.timing.StartListWait))
}

// deadlines passes the times at which a wait may end to earlier.
func (s *startState) deadlines(e *Engine, earlier func(time.Time)) {
	earlier(s.recheckUntil)
	if s.settledAt.After(e.now) {
		earlier(s.settledAt)
	}
	if alone := s.startedAt.Add(e.timing.StartListWait); !s.knowsFleet && alone.After(e.now) {
		earlier(alone)
	}
	if !e.push.heldVersion().IsZero() {
		return
	}
	waits := [...]time.Time{
		s.readAloneAt, s.startedAt.Add(e.timing.StartPeerWait), s.startedAt.Add(e.timing.MinStartWait), s.firstProbeAt.Add(e.timing.StartPeerWait),
	}
	for _, wait := range waits {
		if wait.After(e.now) {
			earlier(wait)
		}
	}
}

func (s *startState) count(wanted probeResult) int {
	count := 0
	for _, result := range s.probeResults {
		if result == wanted {
			count++
		}
	}
	return count
}

// probePeers asks members which versions they hold, over existing links or probes. It
// asks further members in place of unreachable ones.
func (s *startState) probePeers(e *Engine) {
	missing := maxProbedPeers - s.count(probePending) - s.count(probeAnswered)
	if missing <= 0 {
		return
	}
	for _, candidate := range s.unprobed(e, missing) {
		if s.firstProbeAt.IsZero() {
			s.firstProbeAt = e.now
		}
		s.probeResults[candidate.node] = s.probe(e, candidate.node)
	}
}

// unprobed returns up to count members that were not asked yet, in the order of this node's
// rendezvous hash.
func (s *startState) unprobed(e *Engine, count int) []rankedNode {
	ranked := firstNodes{limit: count}
	for member := range e.view.All() {
		node := member.Record.Node
		_, asked := s.probeResults[node]
		if asked || node == e.options.Self.Node || member.Leaving || member.Record.PeerAddress == "" {
			continue
		}
		ranked.add(rankedNode{node: node, rank: rank(string(e.options.Self.Node), node)})
	}
	return ranked.nodes
}

// probe dials a probe to a member, unless the outcome is already known or pending.
func (s *startState) probe(e *Engine, node membership.NodeID) probeResult {
	if l := e.overlay.linkTo(node); l != nil {
		if l.phase == phaseUp {
			return probeAnswered
		}
		return probePending
	}
	if p := e.overlay.peers[node]; p != nil && p.failures > 0 {
		return probeUnreachable
	}
	member, _ := e.view.Member(node)
	e.dial(&member, true)
	return probePending
}

// setProbeResult records the outcome for a member, if it was asked.
func (s *startState) setProbeResult(node membership.NodeID, result probeResult) {
	if _, asked := s.probeResults[node]; asked {
		s.probeResults[node] = result
	}
}

// finishProbe closes an outgoing probe whose peer holds nothing newer than this node.
func (e *Engine) finishProbe(l *link) {
	if l.probe && l.outgoing && !l.held.Newer(e.push.newestVersion()) {
		e.closeLink(l, wire.GoodbyeDone)
	}
}
