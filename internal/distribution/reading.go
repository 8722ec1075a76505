package distribution

import (
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// minPollInterval is the lower bound of the interval after a poll that brings a new revision.
const minPollInterval = 100 * time.Millisecond

// unknownSourceAge is the SourceAge of a node that knows of no answer from the source.
const unknownSourceAge = -1

// readerState is the state of this node as a reader of the source.
type readerState struct {
	// active is set while this node is a reader, resigned while it is one whose reads fail.
	active   bool
	resigned bool
	failures int
	// startReadingAt is when this node starts, or started, to read; zero if others read.
	startReadingAt time.Time
	// stoppedReadingAt is when the node last stopped reading. If it becomes a reader again
	// soon after, it resumes without delay, as after it took a version from a peer first.
	stoppedReadingAt time.Time
	// groupLinkSilentAt is when a link to a group member last failed because the peer was silent.
	groupLinkSilentAt time.Time
	// poll is the running AwaitSource, pollAt when to send the next one.
	poll     RequestID
	polledAt time.Time
	// pollAfter is the revision after which the running poll waits for a newer one.
	pollAfter snapshot.Revision
	// overtakenAt is when a peer delivered a revision that the running poll should have brought.
	overtakenAt time.Time
	// late is set while the source answers this reader later than others, or with old content.
	late bool
	// lastPollAnswered is set if the last poll since this node began to read was answered.
	lastPollAnswered bool
	pollAt           time.Time
	// defersToLeader is set while the next poll is delayed because the leader is expected to
	// bring the next revision.
	defersToLeader bool
	// head is the newest version that the source reported, fetchAt when to fetch it unless
	// a peer delivers it first.
	head        snapshot.Version
	fetch       RequestID
	fetchAt     time.Time
	staleLogged bool // avoids repeated log lines
	lastRequest RequestID
}

func (r *readerState) state() wire.Reading {
	switch {
	case r.active && r.resigned:
		return wire.ReadingResigned
	case r.active && r.late:
		return wire.ReadingIdle // others lead, and no further node of the zone has to read
	case r.active:
		return wire.ReadingActive
	default:
		return wire.ReadingIdle
	}
}

func (r *readerState) deadlines(earlier func(time.Time)) {
	if !r.active {
		earlier(r.startReadingAt)
	}
	if r.poll == 0 {
		earlier(r.pollAt)
	} else if !r.overtakenAt.IsZero() && !r.late {
		earlier(r.overtakenAt.Add(lateAnswerLimit))
	}
	if r.fetch == 0 {
		earlier(r.fetchAt)
	}
}

func (e *Engine) newRequest() RequestID {
	e.sourceReader.lastRequest++
	return e.sourceReader.lastRequest
}

// readerRole tells whether a node reads the source, and how soon it starts.
type readerRole uint8

const (
	roleStandby readerRole = 0 // leaves reading to others
	// roleReader: the node is among the first in its group that can read.
	roleReader readerRole = 1
	// roleReaderAtOnce: the same, and a reader before it fell silent or cannot read. Detecting
	// that took time already, so this node starts without further delay.
	roleReaderAtOnce readerRole = 2
)

// desiredRole decides whether this node reads the source: by its rank, or because nothing else confirms
// its version.
func (e *Engine) desiredRole() readerRole {
	if e.freshness.standingIn {
		return roleReaderAtOnce
	}
	return e.rankedRole()
}

// rankedRole decides whether this node reads the source by its rank: it does while it is among the first
// ReadersPerZone nodes of its zone that can.
func (e *Engine) rankedRole() readerRole {
	current := e.currentRanking()
	if !current.inGroup(e.options.Self.Node) || !e.start.mayRead(e) {
		return roleStandby
	}
	healthy, urgent := 0, e.push.held == nil || e.now.Sub(e.sourceReader.groupLinkSilentAt) < e.timing.TakeOverDelay
	for _, node := range current.group {
		if node == e.options.Self.Node {
			break
		}
		switch e.readerHealthOf(node) {
		case readerHealthy:
			healthy++
		case readerFailing:
			urgent = true
		}
	}
	switch {
	case healthy >= e.options.ReadersPerZone:
		return roleStandby
	case urgent:
		return roleReaderAtOnce
	default:
		return roleReader
	}
}

// readerHealth is what this node knows of another node as a reader.
type readerHealth uint8

const (
	readerHealthy readerHealth = 1 // reads, or will when it becomes a reader
	// readerUnusable: its link broke, it cannot be dialled, it speaks another protocol, or it
	// does not know the epochs of the source, so that the revisions it reads count as older
	// than they are.
	readerUnusable readerHealth = 2
	readerFailing  readerHealth = 3 // its reads fail, or its last answer is older than FreshnessLimit
)

func (e *Engine) readerHealthOf(node membership.NodeID) readerHealth {
	if p := e.overlay.peers[node]; p != nil && (p.lost || p.failures > 0 || p.otherProtocol) {
		return readerUnusable
	}
	l := e.overlay.linkTo(node)
	if l == nil || l.phase != phaseUp {
		return readerHealthy
	}
	if !l.takesOrigins && e.push.heldVersion().Revision.Epoch() > 0 {
		return readerUnusable
	}
	stale := e.now.Sub(latest(l.confirmedAt, l.readingSince)) > e.timing.FreshnessLimit
	if l.reading == wire.ReadingResigned || l.reading == wire.ReadingActive && stale {
		return readerFailing
	}
	return readerHealthy
}

// leads reports whether this node is the leader: the first lead candidate that reads in time. If
// all of them are late, the first one leads.
func (e *Engine) leads() bool {
	before, may := e.currentRanking().candidatesBefore(e.options.Self.Node)
	if !may {
		return false
	}
	others := before
	if e.sourceReader.late {
		others = e.currentRanking().candidates()
	}
	return !slices.ContainsFunc(others, e.isReading)
}

// isReading reports whether another lead candidate reads, as far as this node knows.
func (e *Engine) isReading(node membership.NodeID) bool {
	if node == e.options.Self.Node {
		return false
	}
	if l := e.overlay.linkTo(node); l != nil && l.phase == phaseUp && l.reading != wire.ReadingActive {
		return false // it is not a reader yet, or its reads fail
	}
	return e.readerHealthOf(node) == readerHealthy
}

// takeOverPolling ends the delay of the next poll if this node became the leader, because the
// former leader is gone or can no longer read.
func (e *Engine) takeOverPolling() {
	r := &e.sourceReader
	if r.defersToLeader && r.poll == 0 && e.leads() {
		r.defersToLeader = false
		r.pollAt = earliest(r.pollAt, latest(e.now, r.polledAt.Add(e.changePollInterval())))
	}
}

// runReadingTimers starts or stops reading and runs the reads that are due.
func (e *Engine) runReadingTimers() {
	e.updateRole()
	if !e.sourceReader.active {
		return
	}
	e.detectLateAnswer()
	e.takeOverPolling()
	if e.passed(e.sourceReader.pollAt) && e.sourceReader.poll == 0 {
		e.pollSource()
	}
	if e.passed(e.sourceReader.fetchAt) && e.sourceReader.fetch == 0 {
		e.fetchSource()
	}
}

// updateRole starts or stops reading. It waits TakeOverDelay before it takes over from a reader
// that is gone: most of those are being restarted, and the source would get an additional
// reader for each. A node whose StartSettle has just passed does not wait again, because no
// other node reads yet in a fleet that starts.
func (e *Engine) updateRole() {
	e.updateStandIn()
	r := &e.sourceReader
	desired := e.desiredRole()
	switch {
	case desired == roleStandby && r.active && e.push.held == nil && (r.poll != 0 || r.fetch != 0):
		return // what it reads may be the first version of its zone
	case desired == roleStandby:
		if r.active {
			r.stoppedReadingAt = e.now
		}
		r.startReadingAt = time.Time{}
	case desired == roleReaderAtOnce || e.now.Sub(r.stoppedReadingAt) < e.timing.TakeOverDelay || e.start.justSettled(e):
		r.startReadingAt = e.now
	case r.startReadingAt.IsZero():
		r.startReadingAt = e.now.Add(e.timing.TakeOverDelay)
	}
	if reads := e.passed(r.startReadingAt); reads != r.active {
		e.setReading(reads)
	}
}

func (e *Engine) setReading(active bool) {
	r := &e.sourceReader
	r.active = active
	r.resigned = false
	r.failures = 0
	r.late = false
	r.lastPollAnswered = false
	if active {
		r.pollAt = e.now
		e.log(LogInfo, "reads the source")
	} else {
		e.cancelReading()
		e.log(LogInfo, "leaves the source to others")
	}
	e.members.readingChanged(e)
	e.announceReading()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// announceReading tells the reader group and the other lead candidates at once whether this
// node reads the source.
func (e *Engine) announceReading() {
	for _, l := range e.overlay.order {
		if l.established() && e.isCoordinationLink(l) {
			e.sendHeartbeat(l)
		}
	}
}

// cancelReading cancels the running reads of the source and forgets what it reported.
func (e *Engine) cancelReading() {
	r := &e.sourceReader
	for _, request := range []RequestID{r.poll, r.fetch} {
		if request != 0 {
			e.act(CancelRequest{Request: request})
		}
	}
	r.poll, r.fetch = 0, 0
	r.overtakenAt = time.Time{}
	r.head = snapshot.Version{} // counts as new if this node reads again
	r.pollAt, r.fetchAt = time.Time{}, time.Time{}
}

// cancelRequests cancels all requests to the platform.
func (e *Engine) cancelRequests() {
	e.cancelReading()
	if e.members.request != 0 {
		e.act(CancelRequest{Request: e.members.request})
		e.members.request = 0
	}
}

// sourceAge returns how many milliseconds ago a reader last got an answer from the source.
func (e *Engine) sourceAge() int64 {
	if e.freshness.confirmedAt.IsZero() {
		return unknownSourceAge
	}
	return e.now.Sub(e.freshness.confirmedAt).Milliseconds()
}

// sourceConfirmed records what a peer knows of when a reader last got an answer from the source. It confirms
// the version in force only if the peer's build sends no reports.
func (e *Engine) sourceConfirmed(l *link, age int64) {
	if age < 0 {
		return
	}
	l.confirmedAt = e.now.Add(-time.Duration(age) * time.Millisecond)
	if !l.acceptsReports {
		e.confirm(confirmation{revision: l.held.Revision.Unmarked(), at: l.confirmedAt, yields: true})
	}
}

func (e *Engine) onHeartbeat(l *link, m *wire.Heartbeat) {
	e.setPeerInterval(l, m.Interval)
	if m.Reading != l.reading {
		l.reading = m.Reading
		l.readingSince = e.now
	}
	e.sourceConfirmed(l, m.SourceAge)
}
