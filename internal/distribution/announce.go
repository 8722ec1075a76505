package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

// announce tells of the version in force: at once on the links that this node
// dialled, and on the others a little later, unless their peers announce it first.
// So that two neighbours that adopt at the same time do not both announce.
func (e *Engine) announce() {
	later := e.now.Add(e.timing.AnnounceDelay)
	for _, l := range e.overlay.order {
		switch {
		case !l.lasting():
		case l.outgoing:
			l.announceAt = e.now
		default:
			l.announceAt = later
		}
	}
	e.runAnnouncements()
}

// runAnnouncements sends the announcements that are due, to peers that are not
// known to hold the version.
func (e *Engine) runAnnouncements() {
	held := e.push.heldVersion()
	due := e.overlay.lastingIDs(func(l *link) bool {
		if !e.passed(l.announceAt) {
			return false
		}
		l.announceAt = time.Time{}
		return l.held.Revision < held.Revision
	})
	e.send(&wire.Announce{Version: wire.Short(held)}, due...)
}
