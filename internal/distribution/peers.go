package distribution

import (
	"cmp"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// verifyDelay is how long the higher of two nodes that lost their link leaves
	// dialling to the other.
	verifyDelay = 300 * time.Millisecond
	// suspicionFailures is how many dials in a row must fail before a member to
	// which there was no link is reported as unreachable.
	suspicionFailures = 2
)

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

func (p *peer) linked() { *p = peer{} }

func (p *peer) failed(e *Engine) {
	p.failures++
	p.retryAt = e.now.Add(e.backoff(p.failures, e.timing.RedialMin, e.timing.RedialMax))
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
