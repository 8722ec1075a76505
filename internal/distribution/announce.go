package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

// announce announces the version in force: immediately on the links that this node
// dialled, and after AnnounceDelay on the others, unless their peers announce it
// first. The delay keeps two neighbours that adopt at the same time from both
// announcing.
func (e *Engine) announce() {
	later := e.now.Add(e.timing.AnnounceDelay)
	for _, l := range e.overlay.order {
		switch {
		case !l.established():
		case l.outgoing:
			l.announceAt = e.now
		default:
			l.announceAt = later
		}
	}
	e.runAnnouncements()
}

// runAnnouncements sends the announcements that are due to the peers that are not
// known to hold the version.
func (e *Engine) runAnnouncements() {
	held := e.push.heldVersion()
	due := e.overlay.establishedIDs(func(l *link) bool {
		if !e.passed(l.announceAt) {
			return false
		}
		l.announceAt = time.Time{}
		return l.held.Revision < held.Revision
	})
	e.send(&wire.Announce{Version: wire.Short(held)}, due...)
}
