package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/source"
)

// membersState is the state of reading the platform's member list. Readers read the whole list and
// long-poll for changes. Other nodes read a sample of it, soon after their start and while they have no
// links. They get the list from peers, so that what a starting fleet reads grows with its zones and
// not with the square of its nodes.
type membersState struct {
	request       RequestID
	etag          string
	nextRequestAt time.Time
	lastReadAt    time.Time
	failures      int
	// hasRead is set after the first successful read of the list or of a sample.
	hasRead     bool
	longPolling bool
	// isolatedReads counts the consecutive reads while this node had no links.
	isolatedReads int
}

// minListInterval is the minimum time between two reads of the list.
const minListInterval = time.Second

func (e *Engine) runMembersTimers() {
	m := &e.members
	if m.request != 0 {
		return
	}
	if m.nextRequestAt.IsZero() && e.needsList() {
		m.nextRequestAt = m.nextReadAt(e)
	}
	if e.passed(m.nextRequestAt) {
		m.nextRequestAt = time.Time{}
		if e.needsList() {
			e.fetchMembers()
		}
	}
}

// needsList reports whether this node must read the list. Where the source is always current, a node
// that has a link does not: the peer knows the list, or it could not have found this node.
func (e *Engine) needsList() bool {
	if e.sourceReader.active || e.overlay.countEstablished() == 0 {
		return true
	}
	return !e.members.hasRead && !e.options.SourceIsCurrent
}

// nextReadAt returns when to read the list next, with backoff after failed or isolated
// reads.
func (m *membersState) nextReadAt(e *Engine) time.Time {
	switch {
	case m.lastReadAt.IsZero():
		return latest(e.now, e.start.firstListAt)
	case m.failures > 0:
		return e.now.Add(e.backoff(m.failures, e.timing.BackoffMin, e.timing.BackoffMax))
	case e.sourceReader.active:
		return latest(e.now, m.lastReadAt.Add(minListInterval))
	default:
		return e.now.Add(e.backoff(m.isolatedReads, minListInterval, e.timing.BackoffMax))
	}
}

func (e *Engine) fetchMembers() {
	m := &e.members
	m.request = e.newRequest()
	m.lastReadAt = e.now
	m.longPolling = e.sourceReader.active && m.etag != ""
	m.isolatedReads++
	if e.overlay.countEstablished() > 0 {
		m.isolatedReads = 0
	}
	wait := time.Duration(0)
	if m.longPolling {
		wait = e.timing.MembersWait
	}
	e.act(FetchMembers{Request: m.request, ETag: m.etag, Wait: wait, Sample: !e.sourceReader.active})
}

// readWholeListSoon schedules the first read of the whole list by a reader: all others get it from readers.
func (m *membersState) readWholeListSoon(e *Engine) {
	if e.sourceReader.active && m.etag == "" && m.request == 0 {
		m.nextRequestAt = e.now
	}
}

// readingChanged reads the whole list at once when the node becomes a reader, and cancels a long poll of
// the list when it stops being one.
func (m *membersState) readingChanged(e *Engine) {
	m.readWholeListSoon(e)
	if !e.sourceReader.active && m.longPolling && m.request != 0 {
		e.act(CancelRequest{Request: m.request})
		m.request = 0
		m.longPolling = false
	}
}

func (event MembersListed) apply(e *Engine) {
	m := &e.members
	if event.Request != m.request || m.request == 0 {
		return
	}
	m.request = 0
	switch event.Outcome.Status {
	case source.StatusFresh:
		m.failures = 0
		m.hasRead = true
		if event.Sample {
			e.mergeListed(sampledEntries(event.Members, event.Revision), 0)
			m.readWholeListSoon(e)
		} else {
			m.etag = event.ETag
			e.mergeListed(e.list.storeRead(event.Members, event.Revision, e.now), 0)
		}
		e.markFleetChanged(e.overlay.countEstablished() == 0)
		e.overlayChanged()
	case source.StatusNotModified:
		m.failures = 0
		m.hasRead = true
		e.mergeListed(e.list.storeUnchanged(event.Revision), 0)
	default:
		m.failures++
		m.nextRequestAt = e.now.Add(e.retryDelay(event.Outcome, m.failures))
	}
}
