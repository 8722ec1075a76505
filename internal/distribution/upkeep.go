package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// maxSuspectedDialers bounds the rate at which the whole fleet dials one suspected
// member to that of this many nodes.
const maxSuspectedDialers = 8

// closeUnneeded closes the youngest outgoing links in excess of the wanted number, such
// as one that was dialled only to verify that the peer is alive.
func (e *Engine) closeUnneeded() {
	wanted := e.wantedLinks()
	counts := e.countOutgoing()
	total := e.overlay.countEstablished()
	order := e.overlay.order
	successor := e.successor()
	for i := len(order) - 1; i >= 0; i-- {
		l := order[i]
		d := e.distanceTo(l.zone, l.region)
		if counts[d] <= wanted[d] || total <= minLinks || !e.mayClose(l) {
			continue
		}
		if successor != nil && l.node == successor.Record.Node {
			continue
		}
		counts[d]--
		total--
		e.closeLink(l, wire.GoodbyeUnneeded)
	}
}

func (e *Engine) mayClose(l *link) bool {
	return l.outgoing && l.established() && !e.isCoordinationLink(l) && e.now.Sub(l.openedAt) >= e.timing.UnneededLinkAge
}

// dialSuspected dials one random suspected member, so that the sides of a healed
// partition link up again.
func (e *Engine) dialSuspected() {
	suspected, reachable := e.suspectedMembers()
	e.overlay.retrySuspectedAt = e.now.Add(e.suspectedInterval(len(suspected), reachable))
	if len(suspected) == 0 {
		return
	}
	member := suspected[e.random.IntN(len(suspected))]
	if e.overlay.linkTo(member.Record.Node) == nil {
		e.dial(&member, false)
	}
}

func (e *Engine) suspectedMembers() (suspected []membership.Member, reachable int) {
	for member := range e.view.All() {
		switch {
		case !member.Suspected:
			reachable++
		case !member.Leaving && member.Record.PeerAddress != "":
			suspected = append(suspected, *member)
		}
	}
	return suspected, reachable
}

// suspectedInterval returns the time until the next dial of a suspected member. It grows
// with the fleet, so that the fleet as a whole dials a dead address no more often than a
// few nodes would. All nodes learn of a suspicion at the same time, so the interval is
// fully randomized; otherwise they would all dial at once and then all wait.
func (e *Engine) suspectedInterval(suspected, reachable int) time.Duration {
	if suspected == 0 {
		return e.jittered(e.timing.SuspectedRetry)
	}
	share := time.Duration(max(1, reachable/(suspected*maxSuspectedDialers)))
	interval := e.timing.SuspectedRetry * share
	return e.backoff(1, interval, interval)
}

// sendSuspicions sends all current suspicions to a peer that was suspected itself, so
// that members on its side of a former partition can refute them.
func (e *Engine) sendSuspicions(l *link) {
	var observations []membership.Observation
	for member := range e.view.All() {
		if member.Suspected {
			observations = append(observations, e.observationOf(&member.Record))
		}
	}
	for chunk := range chunks(observations) {
		e.send(&wire.Records{Observations: chunk}, l.id)
	}
}

func (e *Engine) isSuspected(node membership.NodeID) bool {
	member, known := e.view.Member(node)
	return known && member.Suspected
}

func (e *Engine) observationOf(record *membership.Record) membership.Observation {
	return membership.Observation{
		Subject:     record.Node,
		Incarnation: record.Incarnation,
		Sequence:    record.Sequence,
		Observer:    e.options.Self.Node,
	}
}

// suspect records and floods the suspicion that a node is down.
func (e *Engine) suspect(node membership.NodeID) {
	record, known := e.table.Record(node)
	if !known {
		return
	}
	observations := []membership.Observation{e.observationOf(&record)}
	e.mergeObservations(observations, 0)
}

// forgetPeers removes the state of peers that are no longer members and have no link.
func (e *Engine) forgetPeers() {
	for node := range e.overlay.peers {
		if _, known := e.view.Member(node); !known && e.overlay.linkTo(node) == nil {
			delete(e.overlay.peers, node)
		}
	}
}
