package distribution

import (
	"slices"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// adoptNext hands the waiting document to the Adopter unless one is being adopted.
func (e *Engine) adoptNext() {
	if e.push.adopting != nil || e.push.waiting == nil {
		return
	}
	e.push.adopting, e.push.waiting = e.push.waiting, nil
	e.push.adoptingFrom = e.push.waitingFrom
	e.act(Adopt{Document: e.push.adopting})
}

func (event AdoptResult) apply(e *Engine) {
	document := e.push.adopting
	if document == nil || document.Version() != event.Version {
		return
	}
	e.push.adopting = nil
	if event.Err != nil {
		e.refused(event.Version, event.Err.Error())
	} else {
		e.adopted(document)
	}
	e.adoptNext()
	e.startPulls()
}

// adopted records that a document is in force and announces it to the peers that are
// not known to hold it.
func (e *Engine) adopted(document *snapshot.Document) {
	version := document.Version()
	if e.push.held == nil {
		e.countFreshnessFrom()
	}
	e.push.held = document
	e.push.recent = append(e.push.recent, document)
	if len(e.push.recent) > maxRecentDocuments {
		e.push.recent = slices.Delete(e.push.recent, 0, 1)
	}
	clear(e.push.updates)
	clear(e.push.attempts)
	e.push.refusals.forgetForwarded(version)
	e.log(LogInfo, "version %s is in force, received from %s", version, e.push.adoptingFrom)
	e.confirmPending()
	e.announce()
}
