package distribution

import (
	"iter"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

// maxItemsPerFrame bounds the records, observations or list entries of one frame.
const maxItemsPerFrame = 256

// fleetState tracks which changes of the fleet are still to be published or reported.
type fleetState struct {
	// published is this node's record as last put into the outbox.
	published membership.Record
	// notifyAt is when to report the changed fleet to the Adopter, notifiedAt when it was
	// last reported; a zero notifyAt means unchanged.
	notifyAt   time.Time
	notifiedAt time.Time
	expireAt   time.Time
}

// outbox batches items to be flooded, for RecordWindow at most.
type outbox struct {
	records      pending[membership.NodeID, membership.Record]
	observations pending[membership.NodeID, membership.Observation]
	listed       pending[membership.NodeID, wire.ListedEntry]
	flushAt      time.Time
}

func newOutbox() outbox {
	return outbox{
		records:      newPending[membership.NodeID, membership.Record](),
		observations: newPending[membership.NodeID, membership.Observation](),
		listed:       newPending[membership.NodeID, wire.ListedEntry](),
	}
}

// pending holds the latest item of each key, in the order in which the keys were
// added, and the links whose peers already have the item.
type pending[K comparable, T any] struct {
	keys  []K
	items map[K]pendingItem[T]
}

type pendingItem[T any] struct {
	item    T
	knownBy []LinkID
}

func newPending[K comparable, T any]() pending[K, T] {
	return pending[K, T]{items: make(map[K]pendingItem[T])}
}

func (p *pending[K, T]) put(key K, item T, from LinkID) {
	if _, present := p.items[key]; !present {
		p.keys = append(p.keys, key)
	}
	p.items[key] = pendingItem[T]{item: item, knownBy: []LinkID{from}}
}

// markKnown marks the item for a key as known to a link's peer, if the peer has the same item.
func (p *pending[K, T]) markKnown(key K, same func(T) bool, from LinkID) {
	held, present := p.items[key]
	if present && same(held.item) && !slices.Contains(held.knownBy, from) {
		held.knownBy = append(held.knownBy, from)
		p.items[key] = held
	}
}

// unknownTo returns the items that a link's peer is not known to have.
func (p *pending[K, T]) unknownTo(id LinkID) []T {
	var items []T
	for _, key := range p.keys {
		if held := p.items[key]; !slices.Contains(held.knownBy, id) {
			items = append(items, held.item)
		}
	}
	return items
}

func (p *pending[K, T]) clear() {
	p.keys = nil
	clear(p.items)
}

// mergeRecords merges records from a link and floods those that are new. Records of
// nodes that drain or are gone are flooded immediately.
func (e *Engine) mergeRecords(records []membership.Record, from LinkID) {
	added := e.table.MergeRecords(records, e.now)
	urgent := false
	for _, record := range added {
		e.outbox.records.put(record.Node, record, from)
		urgent = urgent || record.State == membership.StateDraining || record.State == membership.StateGone
	}
	if len(added) < len(records) {
		for _, record := range records {
			e.outbox.records.markKnown(record.Node, func(held membership.Record) bool { return held == record }, from)
		}
	}
	if len(added) > 0 {
		e.recordsChanged(urgent)
	}
	e.publishSelf()
}

// mergeObservations merges suspicions from a link, or this node's own from link 0, and
// floods those that are new.
func (e *Engine) mergeObservations(observations []membership.Observation, from LinkID) {
	added := e.table.Observe(observations, e.now)
	for _, observation := range added {
		e.outbox.observations.put(observation.Subject, observation, from)
	}
	if len(added) > 0 {
		e.recordsChanged(false)
	}
	e.publishSelf()
}

// publishSelf floods this node's record if the table changed it.
func (e *Engine) publishSelf() {
	self := e.table.Self()
	if self == e.fleet.published {
		return
	}
	e.fleet.published = self
	e.outbox.records.put(self.Node, self, 0)
	e.recordsChanged(false)
}

func (e *Engine) recordsChanged(urgent bool) {
	e.outboxChanged()
	if urgent {
		e.flushRecords()
	}
	e.markFleetChanged(urgent)
}

func (e *Engine) outboxChanged() {
	if e.outbox.flushAt.IsZero() {
		e.outbox.flushAt = e.now.Add(e.timing.RecordWindow)
	}
}

// flushRecords sends the outbox on all established links, without the items that the
// link's peer is known to have.
func (e *Engine) flushRecords() {
	e.outbox.flushAt = time.Time{}
	for _, id := range e.overlay.establishedIDs(func(*link) bool { return true }) {
		e.sendRecords(id, wire.Records{
			Records:      e.outbox.records.unknownTo(id),
			Observations: e.outbox.observations.unknownTo(id),
			Listed:       e.outbox.listed.unknownTo(id),
		})
	}
	e.outbox.records.clear()
	e.outbox.observations.clear()
	e.outbox.listed.clear()
}

// sendRecords sends records, observations and list entries in frames of bounded
// size. Records are sent first, as observations refer to them.
func (e *Engine) sendRecords(id LinkID, all wire.Records) {
	if len(all.Records)+len(all.Observations)+len(all.Listed) <= maxItemsPerFrame {
		if len(all.Records)+len(all.Observations)+len(all.Listed) > 0 {
			e.send(&all, id)
		}
		return
	}
	for chunk := range chunks(all.Records) {
		e.send(&wire.Records{Records: chunk}, id)
	}
	for chunk := range chunks(all.Observations) {
		e.send(&wire.Records{Observations: chunk}, id)
	}
	for chunk := range chunks(all.Listed) {
		e.send(&wire.Records{Listed: chunk}, id)
	}
}

// chunks splits items into chunks of at most maxItemsPerFrame.
func chunks[T any](items []T) iter.Seq[[]T] { return slices.Chunk(items, maxItemsPerFrame) }

// markFleetChanged schedules the publication of the table's new view, immediately if
// now is set.
func (e *Engine) markFleetChanged(now bool) {
	if e.fleet.notifyAt.IsZero() {
		e.fleet.notifyAt = latest(e.now.Add(e.timing.ViewWindow), e.fleet.notifiedAt.Add(e.timing.ViewInterval))
	}
	if now {
		e.fleet.notifyAt = e.now
	}
}

func (e *Engine) runFleetTimers() {
	if e.passed(e.fleet.expireAt) {
		e.fleet.expireAt = e.now.Add(e.jittered(e.timing.ExpireInterval))
		if e.table.Expire(e.now) {
			e.publishSelf()
			e.markFleetChanged(false)
		}
		e.forgetPeers()
		e.expireReports()
	}
	if !e.passed(e.fleet.notifyAt) {
		return
	}
	e.fleet.notifyAt = time.Time{}
	e.fleet.notifiedAt = e.now
	view := e.table.View()
	if view == e.view {
		return
	}
	e.view = view
	e.act(FleetChanged{View: view})
	e.overlayChanged()
}

func (e *Engine) runRecordTimers() {
	if e.passed(e.outbox.flushAt) {
		e.flushRecords()
	}
}
