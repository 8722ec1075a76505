package mirror

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// largeAnswer is the size in bytes from which an answer holds up what was written after
	// it: some 35 entries of instances, or 26 ms on a link of 5 Mbit/s.
	largeAnswer = 16 << 10
	// apartWait is how long the store may hold a watch beside a large answer. Few take longer.
	apartWait = 2 * time.Second
	// apartInterval is the least time between two watches of one kind beside a large answer:
	// changes that come together are read together.
	apartInterval = 100 * time.Millisecond
	// apartFailures is how many watches in a row may fail before it is left to the large
	// answer.
	apartFailures = 3
)

// apart follows instances and evacuations while a large answer is on its way. A configuration
// of 640 KB takes a second and more over 5 Mbit/s; instances that said meanwhile that they
// leave got requests until all of it had come.
type apart struct {
	mirror *Mirror
	cancel context.CancelFunc
	begin  sync.Once
	ended  sync.WaitGroup
}

// followApart returns a context for reads. Once one of them has a large answer, instances and
// evacuations are watched beside it until stop is called.
func (m *Mirror) followApart(ctx context.Context) (reads context.Context, stop func()) {
	after := m.revision()
	if after == 0 || m.options.Changes == nil {
		return ctx, func() {}
	}
	// The watches have a patience of their own, and outlive the read's.
	watches, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a := &apart{mirror: m, cancel: cancel}
	reads = source.OnceLarge(ctx, largeAnswer, func() {
		a.begin.Do(func() {
			for _, scope := range []Scope{ScopeInstances, ScopeEvacuations} {
				a.ended.Go(func() { a.follow(watches, scope, after) })
			}
		})
	})
	return reads, a.stop
}

// stop ends the watches.
func (a *apart) stop() {
	a.cancel()
	a.begin.Do(func() {}) // none begins from now on
	a.ended.Wait()
}

// follow watches one kind of entries from a revision on.
func (a *apart) follow(ctx context.Context, scope Scope, after uint64) {
	for failures := 0; failures < apartFailures; {
		events, outcome := a.mirror.watchScope(ctx, scope, after, apartWait, math.MaxInt64)
		switch {
		case ctx.Err() != nil || events.Compacted:
			return
		case !read(outcome):
			failures++
		default:
			failures = 0
			after = max(after, events.At)
			a.mirror.tellChanges(scope.call(), events.Items)
		}
		if wait.For(ctx, apartInterval) != nil {
			return
		}
	}
}

// tellChanges tells of changes of instances and evacuations, ahead of the document that holds
// them. call is the read that brought them, for the log.
func (m *Mirror) tellChanges(call string, items []Item) {
	logEndings(m.options.Logger.WithField("call", call), items)
	if m.options.Changes == nil {
		return
	}
	awaitsGone := m.awaitsGone(items)
	var changes []snapshot.Change
	for _, item := range items {
		if awaitsGone && item.Kind == KindInstance && item.Gone {
			continue
		}
		if change, ok := changeOf(item, m.options); ok {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		m.options.Changes(changes)
	}
}

// changeOf returns the change that an item stands for, if it is one.
func changeOf(item Item, options Options) (snapshot.Change, bool) {
	revision := snapshot.Revision(item.Revision)
	switch {
	case item.Name == "" || revision == 0:
		return snapshot.Change{}, false
	case item.Kind == KindInstance && (item.Gone || faultOf(item, options) != nil):
		return snapshot.InstanceGone(revision, item.Name), true
	case item.Kind == KindInstance:
		return snapshot.InstanceChange(revision, *item.Instance), true
	case item.Kind == KindEvacuation && faultOf(item, options) == nil:
		return snapshot.EvacuationChange(revision, item.Name, !item.Gone), true
	default:
		return snapshot.Change{}, false
	}
}
