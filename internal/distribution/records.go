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

// fleetState is what is waiting to be told of the fleet.
type fleetState struct {
	// published is the own record as last given to the outbox.
	published membership.Record
	// tellAt is when the Adopter is told of the changed fleet; zero: unchanged.
	tellAt   time.Time
	toldAt   time.Time
	expireAt time.Time
}

// outbox collects what is to be flooded, for RecordWindow at most.
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

// pending holds the latest item of each key, in the order in which keys came,
// and the links whose peers know it.
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

// heard notes that a link's peer knows what is held for a key.
func (p *pending[K, T]) heard(key K, same func(T) bool, from LinkID) {
	held, present := p.items[key]
	if present && same(held.item) && !slices.Contains(held.knownBy, from) {
		held.knownBy = append(held.knownBy, from)
		p.items[key] = held
	}
}

// unknownTo returns the items that a link's peer is not known to know.
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

// mergeRecords takes records from a link and passes on those that are new. A
// node that stops taking work is passed on at once.
func (e *Engine) mergeRecords(records []membership.Record, from LinkID) {
	news := e.table.MergeRecords(records, e.now)
	urgent := false
	for _, record := range news {
		e.outbox.records.put(record.Node, record, from)
		urgent = urgent || record.State == membership.StateDraining || record.State == membership.StateGone
	}
	if len(news) < len(records) {
		for _, record := range records {
			e.outbox.records.heard(record.Node, func(held membership.Record) bool { return held == record }, from)
		}
	}
	if len(news) > 0 {
		e.recordsChanged(urgent)
	}
	e.publishSelf()
}

// mergeObservations takes suspicions from a link, or the own ones from link 0.
func (e *Engine) mergeObservations(observations []membership.Observation, from LinkID) {
	news := e.table.Observe(observations, e.now)
	for _, observation := range news {
		e.outbox.observations.put(observation.Subject, observation, from)
	}
	if len(news) > 0 {
		e.recordsChanged(false)
	}
	e.publishSelf()
}

// publishSelf floods the own record if the table raised it.
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

// flushRecords sends all that is collected on the links whose peers may not know
// it.
func (e *Engine) flushRecords() {
	e.outbox.flushAt = time.Time{}
	for _, id := range e.overlay.lastingIDs(func(*link) bool { return true }) {
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
// size. Records go first, as observations refer to them.
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

// chunks splits items into parts that fit into one frame.
func chunks[T any](items []T) iter.Seq[[]T] { return slices.Chunk(items, maxItemsPerFrame) }

// markFleetChanged takes the table's new view into use soon, or now.
func (e *Engine) markFleetChanged(now bool) {
	if e.fleet.tellAt.IsZero() {
		e.fleet.tellAt = latest(e.now.Add(e.timing.ViewWindow), e.fleet.toldAt.Add(e.timing.ViewInterval))
	}
	if now {
		e.fleet.tellAt = e.now
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
	}
	if !e.passed(e.fleet.tellAt) {
		return
	}
	e.fleet.tellAt = time.Time{}
	e.fleet.toldAt = e.now
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
