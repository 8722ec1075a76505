package distribution

import (
	"maps"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// changeRetention is how long a change is remembered, so that it is forwarded only once and
	// sent on new links. A document contains it within two seconds, and a link that comes up
	// after a longer partition delivers the newest document.
	changeRetention = 10 * time.Second
	// maxRememberedChanges bounds the remembered changes to as many as a document may have
	// instances.
	maxRememberedChanges = snapshot.MaxTypedResources
)

// AgedChange is a change and the time, by this node's clock, at which a reader read it from
// the source.
type AgedChange struct {
	snapshot.Change
	ReadAt time.Time
}

// FleetChangesRead reports changes that this node read from the source.
type FleetChangesRead struct{ Changes []snapshot.Change }

// FleetChangesLearned reports changes that are new to this node, whichever node read them.
type FleetChangesLearned struct{ Changes []AgedChange }

func (FleetChangesLearned) isAction() {}

// apply skips changes that the document in force contains: a node that resumes reading gets
// all changes since its last read.
func (event FleetChangesRead) apply(e *Engine) {
	var read []AgedChange
	for _, change := range event.Changes {
		if change.Revision > e.push.heldVersion().Revision {
			read = append(read, AgedChange{Change: change, ReadAt: e.now})
		}
	}
	e.mergeFleetChanges(read, 0)
}

// FleetChanges returns the changes that the node remembers, sorted by revision.
func (e *Engine) FleetChanges() []AgedChange { return e.changes.all() }

// onFleetChanges merges the changes of instances and evacuations that a peer sent.
func (e *Engine) onFleetChanges(l *link, m *wire.FleetChanges) {
	received := make([]AgedChange, 0, len(m.Changes))
	for _, change := range m.Changes {
		decoded, err := snapshot.DecodeChange(change.Revision, change.Resource)
		if err != nil {
			e.closeFaultyLink(l, "it sent an invalid fleet change: "+err.Error())
			return
		}
		age := time.Duration(min(max(change.Age, 0), changeRetention.Milliseconds())) * time.Millisecond
		received = append(received, AgedChange{Change: decoded, ReadAt: e.now.Add(-age)})
	}
	e.mergeFleetChanges(received, l.id)
}

// mergeFleetChanges merges changes and floods those that are new. They need not wait for the
// document that contains them, nor arrive in order: the newest revision of each key wins.
func (e *Engine) mergeFleetChanges(changes []AgedChange, from LinkID) {
	added := e.changes.merge(changes, e.now)
	if len(added) == 0 {
		return
	}
	e.act(FleetChangesLearned{Changes: added})
	e.sendFleetChanges(added, e.overlay.establishedIDs(func(l *link) bool { return l.id != from && l.acceptsChanges })...)
}

// sendRecentChanges sends the remembered changes on a new link: its peer may have been starting,
// or partitioned, when they were flooded.
func (e *Engine) sendRecentChanges(l *link) {
	if !l.acceptsChanges {
		return
	}
	e.changes.expire(e.now)
	e.sendFleetChanges(e.changes.all(), l.id)
}

// sendFleetChanges sends changes in frames of bounded size.
func (e *Engine) sendFleetChanges(changes []AgedChange, links ...LinkID) {
	for chunk := range chunks(changes) {
		message := &wire.FleetChanges{Changes: make([]wire.FleetChange, len(chunk))}
		for i, change := range chunk {
			resource, err := change.Resource()
			if err != nil {
				panic(err) // it was decoded from a resource, or validated when it was read
			}
			message.Changes[i] = wire.FleetChange{Revision: change.Revision, Resource: resource, Age: e.now.Sub(change.ReadAt).Milliseconds()}
		}
		e.send(message, links...)
	}
}

// changeCache remembers the newest change of each key for changeRetention, so that each change is
// forwarded once.
type changeCache struct {
	byKey map[snapshot.Key]rememberedChange
}

type rememberedChange struct {
	AgedChange
	// learnedAt is when this node learned of it.
	learnedAt time.Time
}

func newChangeCache() changeCache { return changeCache{byKey: make(map[snapshot.Key]rememberedChange)} }

// merge adds the changes that are newer than the remembered ones of their keys, and returns them.
func (b *changeCache) merge(changes []AgedChange, now time.Time) (added []AgedChange) {
	b.expire(now)
	for _, change := range changes {
		held, known := b.byKey[change.Key]
		if known && held.Revision >= change.Revision || !known && len(b.byKey) >= maxRememberedChanges {
			continue
		}
		b.byKey[change.Key] = rememberedChange{AgedChange: change, learnedAt: now}
		added = append(added, change)
	}
	return added
}

func (b *changeCache) expire(now time.Time) {
	maps.DeleteFunc(b.byKey, func(_ snapshot.Key, change rememberedChange) bool {
		return now.Sub(change.learnedAt) >= changeRetention
	})
}

func (b *changeCache) all() []AgedChange {
	all := make([]AgedChange, 0, len(b.byKey))
	for _, change := range b.byKey {
		all = append(all, change.AgedChange)
	}
	slices.SortFunc(all, func(a, b AgedChange) int { return snapshot.CompareChanges(a.Change, b.Change) })
	return all
}
