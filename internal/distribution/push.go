package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// maxRecentDocuments is how many documents, the one in force included, are kept as bases
	// for deltas.
	maxRecentDocuments = 4
	// olderPullDelay is how long a pull of a newer version delays pulls of older ones. It is
	// bounded so that a peer that announces a version and does not deliver it cannot hold up
	// what others offer.
	olderPullDelay = 300 * time.Millisecond
	// maxPullDoublings bounds how often the timeout of a pull doubles.
	maxPullDoublings = 5
	// maxFailedPulls is how many unanswered pulls close the link to a peer.
	maxFailedPulls = 3
)

// pushState holds the documents that a node has and the pulls it is waiting for.
type pushState struct {
	// held is the document in force, recent the last ones in force, held included.
	held   *snapshot.Document
	recent []*snapshot.Document
	// adopting is being put in force by the Adopter. waiting is verified, newer, and next.
	adopting *snapshot.Document
	waiting  *snapshot.Document
	// adoptingFrom and waitingFrom say where the two came from, for the log.
	adoptingFrom, waitingFrom string
	pulls                     map[wire.ShortVersion]pull
	// attempts counts the pulls of a version that were not answered in time.
	attempts map[wire.ShortVersion]int
	refusals refusals
	// conflict is the last version seen that has the revision in force but other content.
	conflict snapshot.Version
	// updates caches the encoded Update from each base to held.
	updates map[updateKey]encodedUpdate
}

// updateKey identifies a cached Update to the version in force.
type updateKey struct {
	base        snapshot.Revision
	withOrigins bool
}

type encodedUpdate struct {
	messageType wire.Type
	frame       []byte
}

// pull is an unanswered request for a version.
type pull struct {
	version wire.ShortVersion
	timeout time.Duration
	// base is the document that the request named as held; the answer is a delta from it.
	base   *snapshot.Document
	link   LinkID
	sentAt time.Time
}

func newPushState() pushState {
	return pushState{
		pulls:    make(map[wire.ShortVersion]pull),
		attempts: make(map[wire.ShortVersion]int),
		updates:  make(map[updateKey]encodedUpdate),
		refusals: newRefusals(),
	}
}

func (p *pushState) heldVersion() snapshot.Version {
	if p.held == nil {
		return snapshot.Version{}
	}
	return p.held.Version()
}

// newest returns the newest verified document, which is waiting, being adopted or in force.
// It is nil if there is none.
func (p *pushState) newest() *snapshot.Document {
	switch {
	case p.waiting != nil:
		return p.waiting
	case p.adopting != nil:
		return p.adopting
	default:
		return p.held
	}
}

func (p *pushState) newestVersion() snapshot.Version {
	if newest := p.newest(); newest != nil {
		return newest.Version()
	}
	return snapshot.Version{}
}

// document returns a verified document by its version.
func (p *pushState) document(version wire.ShortVersion) *snapshot.Document {
	if document := p.documentAt(version.Revision); document != nil && wire.Short(document.Version()) == version {
		return document
	}
	return nil
}

// documentAt returns a verified document by its revision.
func (p *pushState) documentAt(revision snapshot.Revision) *snapshot.Document {
	for _, document := range append([]*snapshot.Document{p.waiting, p.adopting}, p.recent...) {
		if document != nil && document.Version().Revision == revision {
			return document
		}
	}
	return nil
}

func (p *pushState) deadlines(e *Engine, earlier func(time.Time)) {
	for _, pull := range p.pulls {
		earlier(pull.sentAt.Add(pull.timeout))
		if p.blocksOlderPulls(e, pull) {
			earlier(pull.sentAt.Add(olderPullDelay))
		}
	}
}

// blocksOlderPulls reports whether a pull still delays those of older versions.
func (p *pushState) blocksOlderPulls(e *Engine, pull pull) bool {
	return e.now.Before(pull.sentAt.Add(olderPullDelay))
}

func (e *Engine) runPushTimers() {
	for _, pull := range e.push.sortedPulls() {
		if e.passed(pull.sentAt.Add(pull.timeout)) {
			e.pullTimedOut(pull)
		}
	}
	if len(e.push.pulls) > 0 {
		e.startPulls()
	}
}

// peerVersionChanged processes the version that a peer says it holds.
func (e *Engine) peerVersionChanged(l *link) {
	if e.push.document(l.held) == nil {
		e.reportConflict(l.held.Padded(), "peer "+string(l.node))
	}
	e.startPulls()
}

// reportConflict logs a version that has the revision in force but other content. The
// version in force stays.
func (e *Engine) reportConflict(version snapshot.Version, from string) {
	held := e.push.heldVersion()
	if held.IsZero() || !version.Conflicts(held) || wire.Short(version) == wire.Short(e.push.conflict) {
		return
	}
	e.push.conflict = version
	e.log(LogWarning, "%s offers %s, which conflicts with %s in force; the version in force stays", from, version, held)
}

func (e *Engine) onAnnounce(l *link, m *wire.Announce) {
	l.held = m.Version
	for version, pull := range e.push.pulls {
		if pull.link == l.id && version.Revision > m.Version.Revision {
			delete(e.push.pulls, version) // the peer does not hold it after all
		}
	}
	e.peerVersionChanged(l)
}

// onPull answers with the version in force, as a delta if the peer's base is still kept.
func (e *Engine) onPull(l *link, m *wire.Pull) {
	held := e.push.heldVersion()
	short := wire.Short(held)
	if held.Revision < m.Want || short == m.Held {
		e.send(&wire.Announce{Version: short}, l.id)
		return
	}
	update := e.encodedUpdateFrom(e.push.document(m.Held), l.takesOrigins)
	e.sendFrame(update.messageType, update.frame, l.id)
	l.held = short
}

// encodedUpdateFrom returns the encoded Update from a base to the version in force. A nil
// base gives the whole document.
func (e *Engine) encodedUpdateFrom(base *snapshot.Document, withOrigins bool) encodedUpdate {
	key := updateKey{withOrigins: withOrigins}
	if base != nil {
		key.base = base.Version().Revision
	}
	if update, encoded := e.push.updates[key]; encoded {
		return update
	}
	message := wire.NewUpdate(smallestDelta(base, e.push.held), withOrigins)
	frame, err := wire.Encode(message)
	if err != nil {
		panic(err) // every adopted document can be encoded
	}
	update := encodedUpdate{messageType: message.Type(), frame: frame}
	e.push.updates[key] = update
	return update
}

// smallestDelta returns the delta from a base, which may be nil, or the whole document if the delta is not
// smaller. A delta also names what it removes, so that it could exceed the size of a frame.
func smallestDelta(base, target *snapshot.Document) snapshot.Delta {
	delta, whole := snapshot.Diff(base, target), snapshot.Diff(nil, target)
	if delta.Size() >= whole.Size() {
		return whole
	}
	return delta
}

// onUpdate verifies the document that a peer delivered. It is used only if its hash is that
// of the target version.
func (e *Engine) onUpdate(l *link, m *wire.Update) {
	base, answered := e.completePulls(l)
	if !m.Target.Newer(e.push.newestVersion()) {
		l.held = wire.Short(m.Target)
		return
	}
	if !answered { // the pull was abandoned before the answer came
		base = e.push.documentAt(m.Base)
	}
	var from snapshot.Version
	switch {
	case m.Base == 0:
		base = nil
	case base != nil && base.Version().Revision == m.Base:
		from = base.Version()
	case answered:
		e.closeFaultyLink(l, "it sent a delta from a revision that the request did not name")
		return
	default:
		return
	}
	document, err := m.Delta(from).Apply(base)
	if err != nil {
		e.closeFaultyLink(l, "it sent an invalid update: "+err.Error())
		return
	}
	l.held = wire.Short(m.Target)
	l.failedPulls = 0
	e.enqueueDocument(document, "peer "+string(l.node))
}

// completePulls removes the pulls on a link. It returns the base that the request named,
// and whether there was a pull.
func (e *Engine) completePulls(l *link) (base *snapshot.Document, answered bool) {
	for version, pull := range e.push.pulls {
		if pull.link == l.id {
			delete(e.push.pulls, version)
			base, answered = pull.base, true
		}
	}
	return base, answered
}

// enqueueDocument queues a verified document for adoption, unless it is not newer or was
// refused before. from says where it came from, for the log.
func (e *Engine) enqueueDocument(document *snapshot.Document, from string) {
	document = e.keepNewerConfiguration(document)
	version := document.Version()
	if !version.Newer(e.push.newestVersion()) || e.push.refusals.has(wire.Short(version)) {
		return
	}
	e.push.waiting, e.push.waitingFrom = document, from
	e.adoptNext()
}

// keepNewerConfiguration replaces the configuration in a document from a source that was
// restored from a backup, if this node holds a newer one: the configuration must never go back
// to an older one.
func (e *Engine) keepNewerConfiguration(document *snapshot.Document) *snapshot.Document {
	newest := e.push.newest()
	if newest == nil || !document.Version().Newer(newest.Version()) {
		return document
	}
	kept, err := document.WithNewerConfiguration(newest)
	if err != nil {
		e.log(LogWarning, "cannot keep the configuration of %s with the instances of %s: %v", newest.Version(), document.Version(), err)
		return newest
	}
	if kept != document && !newest.Version().Revision.KeepsConfiguration() {
		e.log(LogWarning, "the source was restored with configuration %d; keeping %d until the source serves one that is not older",
			document.Origin().Number, newest.Origin().Number)
	}
	return kept
}
