package distribution

import (
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// keptRefusals is how many versions are remembered as refused.
	keptRefusals = 16
	// maxPassedOn is how many refusals are passed on above the version in force.
	maxPassedOn = 64
	// maxReasonBytes bounds the reason of a refusal that is passed on.
	maxReasonBytes = 512
)

// refusals remembers which versions this node refused, and what the fleet says.
type refusals struct {
	own []snapshot.Version // the oldest first
	// shown is what operators are told: the own refusals go before those of others.
	shown wire.Refusal
	// passedOn holds the versions above the one in force whose refusal was passed
	// on. While it is full no other is, so that a refusal never travels in circles.
	passedOn map[snapshot.Version]bool
}

func newRefusals() refusals { return refusals{passedOn: make(map[snapshot.Version]bool)} }

// has reports whether this node refused the version.
func (r *refusals) has(version wire.ShortVersion) bool {
	for _, refused := range r.own {
		if wire.Short(refused) == version {
			return true
		}
	}
	return false
}

func (r *refusals) add(version snapshot.Version) {
	r.own = append(r.own, version)
	if len(r.own) > keptRefusals {
		r.own = r.own[1:]
	}
}

// refused remembers that the Adopter refused a version and tells the fleet why.
func (e *Engine) refused(version snapshot.Version, reason string) {
	e.push.refusals.add(version)
	e.log(LogWarning, "version %s is refused: %s", version, reason)
	e.spreadRefusal(wire.Refusal{
		Version: version,
		Reason:  reason[:min(len(reason), maxReasonBytes)],
		By:      e.options.Self.Node,
	}, 0)
}

// onRefusal passes on the reason of another node. It is for operators alone: what
// this node adopts depends on its own Adopter.
func (e *Engine) onRefusal(l *link, m *wire.Refusal) {
	if len(m.Reason) > maxReasonBytes {
		e.faulty(l, "it sent a reason beyond the limit")
		return
	}
	e.spreadRefusal(*m, l.id)
}

func (e *Engine) spreadRefusal(refusal wire.Refusal, from LinkID) {
	r := &e.push.refusals
	if !refusal.Version.Newer(e.push.heldVersion()) || r.passedOn[refusal.Version] {
		return
	}
	if from == 0 || !r.has(wire.Short(r.shown.Version)) {
		r.shown = refusal
	}
	if len(r.passedOn) >= maxPassedOn {
		return
	}
	r.passedOn[refusal.Version] = true
	e.send(&refusal, e.overlay.lastingIDs(func(l *link) bool { return l.id != from })...)
}

// forgetPassedOn forgets the refusals that the version in force outdates.
func (r *refusals) forgetPassedOn(held snapshot.Version) {
	for version := range r.passedOn {
		if !version.Newer(held) {
			delete(r.passedOn, version)
		}
	}
}

// sendRefusal tells a new link of the refusal shown, if it concerns a version
// above the one in force.
func (e *Engine) sendRefusal(l *link) {
	shown := e.push.refusals.shown
	if shown.Version.Newer(e.push.heldVersion()) {
		e.send(&shown, l.id)
	}
}
