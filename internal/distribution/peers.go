package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// verifyDelay is how long the node with the higher NodeID waits after the loss of a
	// link, so that the other one dials first.
	verifyDelay = 300 * time.Millisecond

	// The weights of the evidence that a peer is down (a lost link, a failed dial, a
	// refused dial), and the sum from which it is suspected.
	evidenceLost      = 1
	evidenceNoAnswer  = 1
	evidenceRefused   = 1 // in addition to evidenceNoAnswer
	evidenceThreshold = 3
)

// peer is the state that a node keeps of another one across links.
type peer struct {
	failures int
	// evidence is the sum of the evidence since the last link.
	evidence int
	// retryAt is the earliest time of the next dial.
	retryAt time.Time
	// fullUntil is the earliest time of the next dial for an ordinary link, after the peer
	// had too many links.
	fullUntil time.Time
	// lost is set from the loss of a link until the next link.
	lost bool
	// verifyAt is when to dial the peer after its link was lost; zero: not to be verified.
	verifyAt time.Time
	// otherProtocol is set from a Hello with another protocol version until the next link: the
	// peer may read the source, but delivers nothing to this node.
	otherProtocol bool
}

func (p *peer) reset() { *p = peer{} }

func (p *peer) failed(e *Engine) {
	p.failures++
	p.retryAt = e.now.Add(e.backoff(p.failures, e.timing.RedialMin, e.timing.RedialMax))
}

// linkLost handles a link that ended without Goodbye: the peer is dialled to verify
// that it is alive, and suspected if that fails.
func (e *Engine) linkLost(l *link) {
	e.log(LogDebug, "lost the link to %s", l.node)
	p := e.overlay.peer(l.node)
	p.lost = true
	p.evidence = evidenceLost
	p.verifyAt = e.now
	if e.options.Self.Node > l.node {
		p.verifyAt = e.now.Add(verifyDelay)
	}
	e.overlayChanged()
}

// dialFailed handles a failed dial. The peer is suspected only on enough evidence, as
// an unanswered dial may also mean that the peer, or this node, is short of CPU time.
func (e *Engine) dialFailed(l *link, refused bool) {
	if l.node == "" || !l.outgoing {
		return
	}
	p := e.overlay.peer(l.node)
	p.failed(e)
	e.start.setProbeResult(l.node, probeUnreachable)
	p.evidence += evidenceNoAnswer
	if refused {
		p.evidence += evidenceRefused
	}
	switch {
	case p.evidence < evidenceThreshold:
		if p.lost {
			p.verifyAt = p.retryAt
		}
	case e.isLate():
		p.verifyAt = e.now.Add(e.jittered(e.timing.LatePeriod))
	default:
		e.suspect(l.node)
	}
}

// onGoodbye handles a peer that closes the link with Goodbye.
func (e *Engine) onGoodbye(l *link, reason wire.GoodbyeReason) {
	wasCoordinationLink := e.isCoordinationLink(l)
	e.dropLink(l)
	p := e.overlay.peer(l.node)
	switch reason {
	case wire.GoodbyeProtocol:
		e.noteOtherProtocol(l.node)
	case wire.GoodbyeFull:
		p.fullUntil = e.now.Add(e.jittered(e.timing.RefusedWait))
		if wasCoordinationLink { // while a fleet starts, many nodes assume that they are readers
			p.retryAt = e.now.Add(e.jittered(e.timing.RedialMax))
		}
	default:
		p.retryAt = e.now.Add(e.jittered(e.timing.RedialMin))
	}
}

// noteOtherProtocol delays the next dial of a peer with another protocol version, with which no
// link is possible. What such a peer reads from the source does not reach this node.
func (e *Engine) noteOtherProtocol(node membership.NodeID) {
	if node == "" {
		return
	}
	p := e.overlay.peer(node)
	p.retryAt = e.now.Add(e.jittered(e.timing.RefusedWait))
	if !p.otherProtocol {
		e.log(LogInfo, "%s speaks another protocol version: it is not counted as a reader of the source", node)
	}
	p.otherProtocol = true
	e.start.setProbeResult(node, probeUnreachable)
}

// verifyLostPeers dials the peers whose link was lost and whose verifyAt has passed.
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

// lostMembers returns the members that are still to be verified, sorted by NodeID.
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
