package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// catchUpTime is how long a process that ran late handles what arrived meanwhile before it decides that
// nothing confirms its version.
const catchUpTime = 100 * time.Millisecond

// failingReaders is how many readers must report failed reads for the source itself to count as failing.
const failingReaders = 2

// freshnessState decides when a node reads the source itself although others should. Each read of the
// source confirms, at all nodes that hold the version it found, that they have the newest one. A node that
// no confirmation reaches in time stands in for the readers, whatever the reason: its links are cut or
// silent, or the readers that it can reach cannot read. Its own reads then confirm the version at the nodes
// that are cut off together with it.
type freshnessState struct {
	// confirmedAt is when the version in force was last known to be the newest, pending the confirmations
	// of newer versions, oldest first.
	confirmedAt time.Time
	pending     []confirmation
	// standInAt is when the node begins to stand in unless its version is confirmed before, or, if it holds
	// none, unless a peer answers; zero: not yet known.
	standInAt time.Time
	// delayed is set once standInAt was put off, until the next confirmation or the next start.
	delayed    bool
	standingIn bool
	// othersSince and othersAt are the times of the first and the last of a series of confirmations by
	// readers to which this node yields.
	othersSince, othersAt time.Time
	// unconfirmedSince is when the newest confirmation became older than FreshnessLimit; zero while it is not.
	unconfirmedSince time.Time
	// standIns counts how often the node began to stand in.
	standIns int64
	// random is a stream of its own, drawn from with each confirmation.
	random *rand.Rand
}

// freshnessStream distinguishes the stream of random numbers from that of Engine.
const freshnessStream = 1 << 63

// confirmation says that a revision was the newest of the source at a time.
type confirmation struct {
	revision snapshot.Revision
	at       time.Time
	// yields is set if a node that stands in leaves reading to the reader that confirmed.
	yields bool
}

// maxPendingConfirmations bounds the confirmations that wait until their version is in force. Later ones
// are left out while changes follow each other faster than they are put in force.
const maxPendingConfirmations = 4

// confirm applies a confirmation, at once if this node holds its version or refused it, else when that is
// in force.
func (e *Engine) confirm(c confirmation) {
	f := &e.freshness
	switch {
	case e.push.held == nil: // there is nothing to confirm
	case e.isSettled(c.revision):
		e.applyConfirmation(c)
	case len(f.pending) < maxPendingConfirmations:
		f.pending = append(f.pending, c)
	}
}

// isSettled reports whether this node holds a revision or a later one, or refused it.
func (e *Engine) isSettled(revision snapshot.Revision) bool {
	return e.push.heldVersion().Revision.Unmarked() >= revision || e.push.refusals.hasRevision(revision)
}

func (e *Engine) applyConfirmation(c confirmation) {
	f := &e.freshness
	if c.yields {
		if c.at.Sub(f.othersAt) > e.timing.ConfirmationLimit {
			f.othersSince = e.now
		}
		f.othersAt = latest(f.othersAt, c.at)
	}
	if !c.at.After(f.confirmedAt) {
		return
	}
	f.confirmedAt = c.at
	f.delayed = false
	f.standInAt = c.at.Add(e.timing.ConfirmationLimit + e.standInSpread())
}

// confirmPending applies the confirmations that waited for the version now in force. Those that are older
// than the newest confirmation say nothing more.
func (e *Engine) confirmPending() {
	f := &e.freshness
	waiting := f.pending
	f.pending = nil
	for _, c := range waiting {
		if c.at.After(f.confirmedAt) {
			e.confirm(c)
		}
	}
}

// countFreshnessFrom makes this node stand in if nothing confirms its version within ConfirmationLimit
// from now.
func (e *Engine) countFreshnessFrom() {
	e.freshness.delayed = false
	e.freshness.standInAt = e.now.Add(e.timing.ConfirmationLimit + e.standInSpread())
}

// standInSpread returns the random part of the time after which a node stands in. The nodes of an island
// are confirmed last at the same time. Truncated exponential timers (Nonnenmacher and Biersack, 1998) let a
// few of them start early and most of them late, whatever the number of nodes is, so that the first reads
// confirm the version at the others before they start.
func (e *Engine) standInSpread() time.Duration {
	rate := math.Log(float64(e.table.Len()+1)) + 1
	position := math.Log1p(e.freshness.random.Float64()*math.Expm1(rate)) / rate
	return time.Duration(position * float64(e.timing.StandInSpread))
}

// updateStandIn decides whether this node stands in for the readers.
func (e *Engine) updateStandIn() {
	f := &e.freshness
	if f.standingIn {
		e.endStandIn()
		return
	}
	if f.standInAt.IsZero() && e.startsAlone() {
		f.standInAt = e.now.Add(e.timing.DialTimeout + e.standInSpread())
	}
	if !e.passed(f.standInAt) || !e.mayStandIn() {
		return
	}
	if e.sourceFails() && !f.delayed {
		f.delayed = true
		f.standInAt = e.now.Add(e.pacedDelay())
		return
	}
	e.beginStandIn()
}

func (e *Engine) beginStandIn() {
	f := &e.freshness
	f.standingIn = true
	f.standIns++
	f.othersSince, f.othersAt = time.Time{}, time.Time{}
	e.log(LogInfo, "nothing confirms version %s, confirmed %s: stands in for the readers; %d of %d links were silent meanwhile",
		e.push.heldVersion(), e.sinceConfirmed(), e.countSilent(e.timing.ConfirmationLimit), e.overlay.countEstablished())
	e.overlayChanged() // links may be broken without a sign of it
}

// endStandIn ends standing in if others confirm the version again, or if the source fails this node and
// others: they then share the tries.
func (e *Engine) endStandIn() {
	f := &e.freshness
	switch {
	case !e.mayStandIn() || e.othersConfirm():
		e.log(LogInfo, "other nodes confirm version %s again: no longer stands in for the readers", e.push.heldVersion())
	case e.sourceReader.failures > 0 && e.sourceFails():
		f.standInAt = e.now.Add(e.pacedDelay())
	default:
		return
	}
	f.standingIn = false
}

// mayStandIn reports whether this node may read whatever its rank. With a link to a build that passes on no
// reports, the lack of confirmations means nothing.
func (e *Engine) mayStandIn() bool {
	if e.push.held == nil {
		return e.startsAlone()
	}
	if !e.start.recheckUntil.IsZero() || !e.start.settled(e) || !e.start.fleetKnown(e) {
		return false
	}
	for _, l := range e.overlay.order {
		if l.established() && !l.acceptsReports {
			return false
		}
	}
	return true
}

// startsAlone reports whether this node holds no version and has no link although it knows of others.
func (e *Engine) startsAlone() bool {
	return e.options.SourceIsCurrent && e.push.held == nil && e.members.hasRead && e.overlay.countEstablished() == 0
}

// othersConfirm reports whether other readers have confirmed the version for so long that this node need
// not stand in any more.
func (e *Engine) othersConfirm() bool {
	f := &e.freshness
	if f.othersAt.IsZero() || e.now.Sub(f.othersAt) > e.timing.ConfirmationLimit {
		return false
	}
	return !e.sourceReader.lastPollAnswered || e.now.Sub(f.othersSince) >= e.timing.StandInHold
}

// pacedDelay returns a random delay with which all nodes together try a failing source about once in each
// StandInPace.
func (e *Engine) pacedDelay() time.Duration {
	mean := e.timing.StandInPace * time.Duration(e.table.Len())
	return time.Duration(2 * e.freshness.random.Float64() * float64(mean))
}

// isIsolated reports whether this node stands in and heard from no peer meanwhile: all its links may be
// broken without a sign of it.
func (e *Engine) isIsolated() bool {
	return e.freshness.standingIn && e.countSilent(e.timing.ConfirmationLimit) == e.overlay.countEstablished()
}

func (f *freshnessState) deadlines(e *Engine, earlier func(time.Time)) {
	if !f.standingIn && f.standInAt.After(e.now) {
		earlier(f.standInAt)
	}
}

// freshnessRanLate gives a process that ran late time to read what its peers sent meanwhile.
func (e *Engine) freshnessRanLate() {
	f := &e.freshness
	if ready := e.now.Add(catchUpTime); !f.delayed && !f.standInAt.IsZero() && f.standInAt.Before(ready) {
		f.delayed = true
		f.standInAt = ready
	}
}

// noticeUnconfirmed logs when the newest confirmation by the source becomes older than FreshnessLimit, with
// what decides whether this node reads the source, and when there is a newer one again.
func (e *Engine) noticeUnconfirmed() {
	f := &e.freshness
	isOld := !f.confirmedAt.IsZero() && e.now.Sub(f.confirmedAt) > e.timing.FreshnessLimit
	switch {
	case isOld && f.unconfirmedSince.IsZero():
		f.unconfirmedSince = e.now
		e.log(LogWarning, "version %s was last confirmed %s: reader %t, in the reader group %t, %d of %d links silent for longer than %s",
			e.push.heldVersion(), e.sinceConfirmed(), e.sourceReader.active, e.currentRanking().inGroup(e.options.Self.Node),
			e.countSilent(e.timing.FreshnessLimit), e.overlay.countEstablished(), e.timing.FreshnessLimit)
	case !isOld && !f.unconfirmedSince.IsZero():
		e.log(LogInfo, "version %s is confirmed again, after %s", e.push.heldVersion(), e.now.Sub(f.unconfirmedSince).Round(time.Millisecond))
		f.unconfirmedSince = time.Time{}
	}
}

// sinceConfirmed returns the age of the newest confirmation for log lines.
func (e *Engine) sinceConfirmed() string {
	if e.freshness.confirmedAt.IsZero() {
		return "never"
	}
	return e.now.Sub(e.freshness.confirmedAt).Round(time.Millisecond).String() + " ago"
}

// countSilent counts the established links on which nothing was received for longer than a limit.
func (e *Engine) countSilent(limit time.Duration) int {
	count := 0
	for _, l := range e.overlay.order {
		if l.established() && e.now.Sub(l.lastReceived) > limit {
			count++
		}
	}
	return count
}
