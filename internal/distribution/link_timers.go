package distribution

import (
	"github.com/winchhead/winchhead/internal/wire"
)

// runLinkTimers sends the heartbeats and digests that are due, and drops links that are
// dead or whose dial timed out.
func (e *Engine) runLinkTimers() {
	e.runAnnouncements()
	for _, l := range e.overlay.order {
		if e.now.Before(l.deadline(e)) || e.overlay.links[l.id] != l {
			continue
		}
		switch {
		case l.phase != phaseUp:
			e.dropLink(l)
			e.dialFailed(l, false)
		case l.probe:
			e.closeLink(l, wire.GoodbyeDone)
		case e.passed(l.deadAt()):
			if e.isGroupLink(l) {
				e.sourceReader.groupLinkSilentAt = e.now
			}
			e.dropLink(l)
			e.linkLost(l)
		case e.digestDue(l):
			e.sendDigest(l, wire.DigestPlain)
		default:
			e.sendHeartbeat(l)
		}
	}
}

// digestDue reports whether to send a digest now. A digest that is due before the
// heartbeat after this one is sent early, in place of this heartbeat.
func (e *Engine) digestDue(l *link) bool {
	if e.passed(l.digestAt) {
		return true
	}
	return e.passed(l.heartbeatAt(e)) && e.now.Add(l.ownInterval).After(l.digestAt)
}

func (e *Engine) sendHeartbeat(l *link) {
	l.ownInterval = e.intervalFor(l)
	l.sourceAgeSentAt = e.now
	e.send(&wire.Heartbeat{
		Interval:  l.ownInterval.Milliseconds(),
		Reading:   e.sourceReader.state(),
		SourceAge: e.sourceAge(),
	}, l.id)
}
