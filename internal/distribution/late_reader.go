package distribution

import "time"

// lateAnswerLimit is how much later than a peer a reader may get a revision from the source before
// it counts as late. It is well above the time that a revision takes from node to node, and well
// below the time within which a change has to be in force.
const lateAnswerLimit = 100 * time.Millisecond

// detectLateAnswer finds out that the source answers this reader late, or with old content, while it
// serves others. The reader cannot tell from its own answers, but its peers deliver a revision that
// the running poll should have brought. A late reader does not lead, because the others would leave
// the next changes to it.
func (e *Engine) detectLateAnswer() {
	r := &e.sourceReader
	if r.poll == 0 || e.push.newestVersion().Revision.Unmarked() <= r.pollAfter {
		// The newest version can also fall, when a document is refused. A time that nothing clears would
		// remain due, and the engine would ask to be woken again at once.
		r.overtakenAt = time.Time{}
		return
	}
	if r.overtakenAt.IsZero() {
		r.overtakenAt = e.now
	}
	if e.isOvertaken() {
		e.setLate(true)
	}
}

// isOvertaken reports whether a peer delivered the revision that the poll waits for lateAnswerLimit
// ago or earlier.
func (e *Engine) isOvertaken() bool {
	overtakenAt := e.sourceReader.overtakenAt
	return !overtakenAt.IsZero() && !e.now.Before(overtakenAt.Add(lateAnswerLimit))
}

// setLate records whether the source answers this reader late, and tells the readers that may lead.
func (e *Engine) setLate(late bool) {
	r := &e.sourceReader
	if r.late == late {
		return
	}
	r.late = late
	if late {
		e.log(LogWarning, "peers got revision %s %s before this reader: another one leads", e.push.newestVersion(), e.now.Sub(r.overtakenAt))
	} else {
		e.log(LogInfo, "the source answers this reader in time again")
	}
	e.announceReading()
}
