package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// recordPullTimeout is how long an unanswered pull of records blocks further pulls.
	recordPullTimeout = time.Second
	// minExchangeInterval is the minimum time between two exchanges of records that this
	// node starts. While many nodes start, each new link reveals a difference.
	minExchangeInterval = 2 * time.Second
	// minLinkExchangeInterval is the minimum time between two exchanges that this node
	// starts on one link.
	minLinkExchangeInterval = 5 * time.Second
	// minRecordPullInterval is the minimum time between two pulls of a peer; earlier
	// ones are ignored.
	minRecordPullInterval = minLinkExchangeInterval / 2
)

// repairState keeps a node from pulling the same records from several peers.
type repairState struct {
	link         LinkID
	blockedUntil time.Time
}

func (r *repairState) onLinkClosed(l *link) {
	if r.link == l.id {
		r.blockedUntil = time.Time{}
	}
}

// fleetDigest returns a digest of all records, suspicions and list entries of this node.
func (e *Engine) fleetDigest() uint64 { return e.table.Digest() + e.list.digest() }

func (e *Engine) sendDigest(l *link, request wire.DigestRequest) {
	l.digestAt = e.now.Add(e.jittered(e.timing.DigestInterval))
	l.sourceAgeSentAt = e.now
	e.send(&wire.Digest{
		Held:        wire.Short(e.push.heldVersion()),
		FleetDigest: e.fleetDigest(),
		SourceAge:   e.sourceAge(),
		Request:     request,
	}, l.id)
}

func (e *Engine) onDigest(l *link, m *wire.Digest) {
	e.sourceConfirmed(l, m.SourceAge)
	l.held = m.Held
	if m.Request == wire.DigestAnswer {
		l.awaitingRecheck = false
		e.start.peerConfirmed()
	}
	if m.Request == wire.DigestAsk {
		e.sendDigest(l, wire.DigestAnswer)
	}
	e.peerVersionChanged(l)
	if m.Held.Revision < e.push.heldVersion().Revision && l.established() {
		e.send(&wire.Announce{Version: wire.Short(e.push.heldVersion())}, l.id)
	}
	if m.FleetDigest != e.fleetDigest() && l.established() {
		e.pullRecords(l)
	}
}

// pullRecords starts an exchange of the records in which the two nodes differ.
func (e *Engine) pullRecords(l *link) {
	if e.now.Before(e.repair.blockedUntil) || e.now.Before(l.nextRecordPullAt) {
		return
	}
	e.repair = repairState{link: l.id, blockedUntil: e.now.Add(recordPullTimeout)}
	l.nextRecordPullAt = e.now.Add(minLinkExchangeInterval)
	e.sendRecordPull(l, true)
}

func (e *Engine) sendRecordPull(l *link, reply bool) {
	buckets := e.table.BucketDigests()
	listBuckets := e.list.buckets
	e.send(&wire.RecordPull{Buckets: buckets[:], ListBuckets: listBuckets[:], Reply: reply}, l.id)
}

func (e *Engine) onRecordPull(l *link, m *wire.RecordPull) {
	if m.Reply {
		if e.now.Before(l.recordPullReceivedAt.Add(minRecordPullInterval)) {
			return // a correct peer never pulls this often
		}
		l.recordPullReceivedAt = e.now
	}
	differing := e.table.DifferingBuckets(m.Buckets)
	records := wire.Records{
		Records:      e.table.RecordsIn(differing),
		Observations: e.table.ObservationsIn(differing),
		Listed:       e.list.entriesDiffering(m.ListBuckets),
	}
	if m.Reply {
		e.sendRecordPull(l, false)
	}
	e.sendRecords(l.id, records)
}

func (e *Engine) onRecords(l *link, m *wire.Records) {
	if e.repair.link == l.id {
		e.repair = repairState{blockedUntil: e.now.Add(minExchangeInterval)}
	}
	e.mergeRecords(m.Records, l.id)
	e.mergeListed(m.Listed, l.id)
	e.mergeObservations(m.Observations, l.id)
}
