package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wire"
)

// pollSource asks the source for a revision newer than the one held or last seen.
func (e *Engine) pollSource() {
	r := &e.sourceReader
	r.poll = e.newRequest()
	r.polledAt = e.now
	r.pollAt = time.Time{}
	r.defersToLeader = false
	after := max(e.push.heldVersion().Revision, r.head.Revision)
	r.pollAfter, r.overtakenAt = after, time.Time{}
	e.act(AwaitSource{Request: r.poll, After: after, Wait: e.pollWait(), MinInterval: e.changePollInterval()})
}

// pollWait returns how long the source may hold the next poll (long polling). After a poll
// that was not answered it is zero, so that a further lost poll costs only the time of an
// answer, and the next poll shows that the source has recovered.
func (e *Engine) pollWait() time.Duration {
	if !e.sourceReader.lastPollAnswered {
		return 0
	}
	return e.timing.SourceWait
}

func (e *Engine) fetchSource() {
	r := &e.sourceReader
	r.fetchAt = time.Time{}
	if !r.head.Newer(e.push.newestVersion()) || e.push.refusals.has(wire.Short(r.head)) {
		return // a peer delivered it first
	}
	r.fetch = e.newRequest()
	e.act(FetchSource{Request: r.fetch, Held: e.push.heldVersion()})
}

func (event SourceRevision) apply(e *Engine) {
	r := &e.sourceReader
	if event.Request != r.poll || r.poll == 0 {
		return
	}
	r.poll = 0
	wasOvertaken := e.isOvertaken()
	r.overtakenAt = time.Time{}
	if !e.recordOutcome(event.Outcome) {
		r.lastPollAnswered = false
		r.pollAt = e.now.Add(e.sourceRetryDelay(event.Outcome))
		return
	}
	isNewer := event.Version.Newer(snapshot.Version{Revision: max(e.push.heldVersion().Revision, r.head.Revision)})
	if event.Version.Revision > r.pollAfter && !wasOvertaken {
		e.setLate(false)
	}
	interval := e.timing.SourceWait / 2
	switch {
	case isNewer:
		interval = e.changePollInterval()
	case !r.lastPollAnswered:
		interval = 0 // this poll did not wait for a new revision
	}
	r.lastPollAnswered = true
	r.defersToLeader = isNewer && !e.leads()
	r.pollAt = latest(e.now, r.polledAt.Add(interval))
	e.updateHead(event.Version, isNewer)
	e.reportRead(false)
}

// changePollInterval returns the least time between the start of a poll that brings a new
// revision and the start of the next poll.
func (e *Engine) changePollInterval() time.Duration {
	if e.leads() {
		return max(e.timing.LeaderPollInterval, minPollInterval)
	}
	return max(e.timing.FollowerPollInterval, minPollInterval)
}

// updateHead processes the newest version that the source reports.
func (e *Engine) updateHead(version snapshot.Version, isNewer bool) {
	r := &e.sourceReader
	held := e.push.heldVersion()
	e.reportConflict(version, "the source")
	isStale := version.Revision < held.Revision.Unmarked()
	if isStale && !r.staleLogged {
		e.log(LogWarning, "the source is stale: it serves %s, but %s is in force", version, held)
	}
	r.staleLogged = isStale
	switch {
	case isNewer:
		r.head = version
		r.fetchAt = e.now.Add(e.fetchDelay())
	case version.Revision < r.head.Revision:
		r.head = version // the source no longer has the version it reported before
	}
}

// fetchDelay returns how long to wait for peers to deliver a new revision before it is
// fetched from the source.
func (e *Engine) fetchDelay() time.Duration {
	position := e.currentRanking().globalRank(e.options.Self.Node)
	if position == 0 {
		return 0
	}
	delay := e.timing.FetchDelay + time.Duration(position)*e.timing.FetchStagger
	return min(delay, e.timing.FetchDelayMax)
}

func (event SourceDocument) apply(e *Engine) {
	r := &e.sourceReader
	if event.Request != r.fetch || r.fetch == 0 {
		return
	}
	r.fetch = 0
	if !e.recordOutcome(event.Outcome) {
		r.fetchAt = e.now.Add(e.sourceRetryDelay(event.Outcome))
		return
	}
	if event.Document != nil {
		e.reportConflict(event.Document.Version(), "the source")
		e.enqueueDocument(event.Document, "the source")
	}
	if r.head.Newer(e.push.newestVersion()) && !e.push.refusals.has(wire.Short(r.head)) {
		r.fetchAt = e.now.Add(e.jittered(e.timing.SourceWait)) // the document was older than the reported version
	}
}

// maxBusyAnswers is how many busy answers in a row make a reader resign, so that another
// node reads. A single one may be due to a short load peak.
const maxBusyAnswers = 2

// recordOutcome records how a read of the source ended and reports whether it succeeded. A
// reader whose reads fail resigns: the next node in its group reads as well, while it keeps
// trying itself.
func (e *Engine) recordOutcome(outcome source.Outcome) bool {
	r := &e.sourceReader
	ok := outcome.Status == source.StatusFresh || outcome.Status == source.StatusNotModified
	was := r.resigned
	switch {
	case ok:
		r.failures = 0
		r.resigned = false
	case outcome.Status == source.StatusBusy:
		// The source works, and another reader would add to its load unless it rejects only
		// this node. A reader with a long Retry-After resigns at once: otherwise a
		// Retry-After of 5 s delays changes by up to 4.8 s.
		r.failures++
		r.resigned = r.resigned || r.failures >= maxBusyAnswers || outcome.RetryAfter > e.timing.BackoffMin
	default:
		r.failures++
		r.resigned = true
	}
	if !ok {
		e.reportRead(true)
	}
	if r.resigned != was {
		e.logResigned(outcome)
		e.announceReading()
	}
	return ok
}

func (e *Engine) logResigned(outcome source.Outcome) {
	if e.sourceReader.resigned {
		e.log(LogWarning, "cannot read the source: %v", outcome.Err)
		return
	}
	e.log(LogInfo, "reads the source again")
}

// sourceRetryDelay returns how long to wait after a failed read of the source.
func (e *Engine) sourceRetryDelay(outcome source.Outcome) time.Duration {
	return e.retryDelay(outcome, e.sourceReader.failures)
}

// retryDelay returns how long to wait after a number of failed reads in a row.
func (e *Engine) retryDelay(outcome source.Outcome, failures int) time.Duration {
	return min(outcome.RetryAfter, e.timing.RetryAfterMax) + e.backoff(failures, e.timing.BackoffMin, e.timing.BackoffMax)
}
