package distribution

import (
	"maps"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

const (
	// changeMemory is how long a change is known as one that was passed on, and told to links
	// that come up. Documents bring it within two seconds; a link that was cut for longer
	// brings the newest document.
	changeMemory = 10 * time.Second
	// maxRememberedChanges bounds the changes that are remembered, as many as a document may
	// have instances.
	maxRememberedChanges = snapshot.MaxTypedResources
)

// AgedChange is a change with the time at which a reader read of it, by this node's clock.
type AgedChange struct {
	snapshot.Change
	ReadAt time.Time
}

// FleetChangesRead tells of changes that this node read from the source.
type FleetChangesRead struct{ Changes []snapshot.Change }

// FleetChangesLearned tells of changes that are new to this node, whoever read them.
type FleetChangesLearned struct{ Changes []AgedChange }

func (FleetChangesLearned) isAction() {}

// apply leaves out what the document in force holds: a node that takes up reading again reads
// of all that was written since it read last.
func (event FleetChangesRead) apply(e *Engine) {
	var read []AgedChange
	for _, change := range event.Changes {
		if change.Revision > e.push.heldVersion().Revision {
			read = append(read, AgedChange{Change: change, ReadAt: e.now})
		}
	}
	e.takeFleetChanges(read, 0)
}

// FleetChanges returns the changes that the node remembers, sorted by revision.
func (e *Engine) FleetChanges() []AgedChange { return e.changes.all() }

// onFleetChanges takes over what a peer tells of instances and evacuations.
func (e *Engine) onFleetChanges(l *link, m *wire.FleetChanges) {
	received := make([]AgedChange, 0, len(m.Changes))
	for _, change := range m.Changes {
		decoded, err := snapshot.ChangeOf(change.Revision, change.Resource)
		if err != nil {
			e.faulty(l, "it sent a wrong change: "+err.Error())
			return
		}
		age := time.Duration(min(max(change.Age, 0), changeMemory.Milliseconds())) * time.Millisecond
		received = append(received, AgedChange{Change: decoded, ReadAt: e.now.Add(-age)})
	}
	e.takeFleetChanges(received, l.id)
}

// takeFleetChanges takes changes over and passes on those that are new. They do not wait for
// the document that holds them, nor for each other: the newest of each key holds.
func (e *Engine) takeFleetChanges(changes []AgedChange, from LinkID) {
	news := e.changes.merge(changes, e.now)
	if len(news) == 0 {
		return
	}
	e.act(FleetChangesLearned{Changes: news})
	e.tellFleetChanges(news, e.overlay.lastingIDs(func(l *link) bool { return l.id != from && l.takesChanges })...)
}

// sendFleetChanges tells a new link of what is remembered: its peer may have started, or been
// cut off, when they came.
func (e *Engine) sendFleetChanges(l *link) {
	if !l.takesChanges {
		return
	}
	e.changes.expire(e.now)
	e.tellFleetChanges(e.changes.all(), l.id)
}

// tellFleetChanges sends changes in frames of bounded size.
func (e *Engine) tellFleetChanges(changes []AgedChange, links ...LinkID) {
	for chunk := range chunks(changes) {
		message := &wire.FleetChanges{Changes: make([]wire.FleetChange, len(chunk))}
		for i, change := range chunk {
			resource, err := change.Resource()
			if err != nil {
				panic(err) // it was decoded from that form, or checked when it was read
			}
			message.Changes[i] = wire.FleetChange{Revision: change.Revision, Resource: resource, Age: e.now.Sub(change.ReadAt).Milliseconds()}
		}
		e.send(message, links...)
	}
}

// changeBook remembers the newest change of each key for a while, so that each is passed on
// once.
type changeBook struct {
	byKey map[snapshot.Key]rememberedChange
}

type rememberedChange struct {
	AgedChange
	// since is when this node learned of it.
	since time.Time
}

func newChangeBook() changeBook { return changeBook{byKey: make(map[snapshot.Key]rememberedChange)} }

// merge returns the changes that are newer than what is remembered of their keys.
func (b *changeBook) merge(changes []AgedChange, now time.Time) (news []AgedChange) {
	b.expire(now)
	for _, change := range changes {
		held, known := b.byKey[change.Key]
		if known && held.Revision >= change.Revision || !known && len(b.byKey) >= maxRememberedChanges {
			continue
		}
		b.byKey[change.Key] = rememberedChange{AgedChange: change, since: now}
		news = append(news, change)
	}
	return news
}

func (b *changeBook) expire(now time.Time) {
	maps.DeleteFunc(b.byKey, func(_ snapshot.Key, change rememberedChange) bool { return now.Sub(change.since) >= changeMemory })
}

func (b *changeBook) all() []AgedChange {
	all := make([]AgedChange, 0, len(b.byKey))
	for _, change := range b.byKey {
		all = append(all, change.AgedChange)
	}
	slices.SortFunc(all, func(a, b AgedChange) int { return snapshot.CompareChanges(a.Change, b.Change) })
	return all
}
