package distribution

import (
	"slices"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxOwnRefusals bounds the remembered versions that this node refused.
	maxOwnRefusals = 16
	// maxForwardedRefusals bounds the forwarded refusals of versions above the one in force.
	maxForwardedRefusals = 64
	// maxReasonBytes bounds the reason of a refusal that is sent to peers.
	maxReasonBytes = 512
)

// refusals holds the versions that this node refused, and refusals of other nodes.
type refusals struct {
	own []snapshot.Version // oldest first
	// reported is the refusal shown to operators: refusals of this node take precedence
	// over those of others.
	reported wire.Refusal
	// forwarded holds the versions above the one in force whose refusal was forwarded.
	// While it is full no further refusal is forwarded, so that none loops.
	forwarded map[snapshot.Version]bool
}

func newRefusals() refusals { return refusals{forwarded: make(map[snapshot.Version]bool)} }

// has reports whether this node refused the version.
func (r *refusals) has(version wire.ShortVersion) bool {
	for _, refused := range r.own {
		if wire.Short(refused) == version {
			return true
		}
	}
	return false
}

// hasRevision reports whether this node refused a version of the revision.
func (r *refusals) hasRevision(revision snapshot.Revision) bool {
	return slices.ContainsFunc(r.own, func(refused snapshot.Version) bool { return refused.Revision.Unmarked() == revision })
}

func (r *refusals) add(version snapshot.Version) {
	r.own = append(r.own, version)
	if len(r.own) > maxOwnRefusals {
		r.own = r.own[1:]
	}
}

// refused records that the Adopter refused a version and floods the reason.
func (e *Engine) refused(version snapshot.Version, reason string) {
	e.push.refusals.add(version)
	e.confirmPending()
	e.log(LogWarning, "configuration version %s was refused: %s", version, reason)
	e.floodRefusal(wire.Refusal{
		Version: version,
		Reason:  reason[:min(len(reason), maxReasonBytes)],
		By:      e.options.Self.Node,
	}, 0)
}

// onRefusal forwards the refusal of another node. It only informs operators: what
// this node adopts depends on its own Adopter.
func (e *Engine) onRefusal(l *link, m *wire.Refusal) {
	if len(m.Reason) > maxReasonBytes {
		e.closeFaultyLink(l, "it sent a refusal reason above the size limit")
		return
	}
	e.floodRefusal(*m, l.id)
}

func (e *Engine) floodRefusal(refusal wire.Refusal, from LinkID) {
	r := &e.push.refusals
	if !refusal.Version.Newer(e.push.heldVersion()) || r.forwarded[refusal.Version] {
		return
	}
	if from == 0 || !r.has(wire.Short(r.reported.Version)) {
		r.reported = refusal
	}
	if len(r.forwarded) >= maxForwardedRefusals {
		return
	}
	r.forwarded[refusal.Version] = true
	e.send(&refusal, e.overlay.establishedIDs(func(l *link) bool { return l.id != from })...)
}

// forgetForwarded removes the forwarded refusals of versions that are not newer than the
// one in force.
func (r *refusals) forgetForwarded(held snapshot.Version) {
	for version := range r.forwarded {
		if !version.Newer(held) {
			delete(r.forwarded, version)
		}
	}
}

// sendRefusal sends the reported refusal on a new link, if it concerns a version
// above the one in force.
func (e *Engine) sendRefusal(l *link) {
	reported := e.push.refusals.reported
	if reported.Version.Newer(e.push.heldVersion()) {
		e.send(&reported, l.id)
	}
}
