package mirror

import (
	"cmp"
	"context"
	"math"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
	"github.com/winchhead/winchhead/internal/wait"
)

const (
	// largeResponseBytes is the response size from which a read delays later changes noticeably:
	// 0.1 s on a 5 Mbit/s link, or about 200 instance entries. With 16 KB, a starting fleet of 295
	// nodes would make about 1,100 more calls to the store.
	largeResponseBytes = 64 << 10
	// concurrentWatchTime is how long the concurrent watches continue after the last bytes of a
	// large response. Operators change a configuration in steps, so large responses come in series;
	// ending the watches with each response would take 1.5 times as many calls to the store.
	concurrentWatchTime = 2 * time.Second
	// concurrentWatchInterval is the minimum time between two watches of one scope when the read's
	// context specifies no gather time.
	concurrentWatchInterval = 250 * time.Millisecond
	// maxConcurrentWatchFailures is how many watches in a row may fail before the watcher gives up
	// and relies on the large response.
	maxConcurrentWatchFailures = 3
)

// concurrentWatcher watches instances and evacuations while large responses are being received.
// A configuration of 640 KB takes over a second at 5 Mbit/s; without the watcher, instances that
// started draining meanwhile would receive requests until all of it has arrived.
type concurrentWatcher struct {
	mirror *Mirror
	// lifetime ends when the mirror is closed.
	lifetime context.Context
	cancel   context.CancelFunc
	watching sync.WaitGroup

	mutex       sync.Mutex     // guards the fields below
	watchUntil  time.Time      // when the concurrent watches end
	minInterval time.Duration  // the minimum time between two watches of one scope
	scopes      map[Scope]bool // the scopes being watched
}

func newConcurrentWatcher(mirror *Mirror) *concurrentWatcher {
	lifetime, cancel := context.WithCancel(context.Background())
	return &concurrentWatcher{mirror: mirror, lifetime: lifetime, cancel: cancel, scopes: make(map[Scope]bool)}
}

// Close stops the mirror's background watches.
func (m *Mirror) Close() {
	m.concurrent.cancel()
	m.concurrent.watching.Wait()
}

// withConcurrentWatches returns a context for reads: while one of them receives a large response,
// instances and evacuations are watched concurrently. Before the first configuration no change can
// take effect, and all nodes of a starting fleet read that configuration at once: concurrent
// watches by 80 nodes would add about 800 calls to the store.
func (m *Mirror) withConcurrentWatches(ctx context.Context) context.Context {
	if m.onChanges == nil || !m.isComplete() {
		return ctx
	}
	after := m.revision()
	minInterval := cmp.Or(source.ReadInterval(ctx), concurrentWatchInterval)
	return source.WithByteThreshold(ctx, largeResponseBytes, func() { m.concurrent.extend(after, minInterval) })
}

// extend prolongs the watches, and starts those that are not running after the given revision.
func (w *concurrentWatcher) extend(after snapshot.Revision, minInterval time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.watchUntil, w.minInterval = clock.Now().Add(concurrentWatchTime), minInterval
	for _, scope := range []Scope{ScopeInstances, ScopeEvacuations} {
		if w.scopes[scope] || w.lifetime.Err() != nil {
			continue
		}
		w.scopes[scope] = true
		w.watching.Go(func() { w.follow(scope, after) })
	}
}

// follow watches one scope from a revision on.
func (w *concurrentWatcher) follow(scope Scope, after snapshot.Revision) {
	for failures := 0; ; {
		remaining, minInterval := w.timeLeft(scope, failures)
		if remaining <= 0 {
			return
		}
		events, outcome := w.mirror.watchScope(w.lifetime, scope, after, remaining, math.MaxInt64)
		switch {
		case events.Compacted, succeeded(outcome) && events.At.Epoch() != after.Epoch():
			failures = maxConcurrentWatchFailures // the next list includes what was missed
		case !succeeded(outcome):
			failures++
		default:
			failures = 0
			after = max(after, events.At)
			w.mirror.publishChanges(scope.call(), w.mirror.withoutNewReadyInstances(events.Items))
		}
		_ = wait.For(w.lifetime, minInterval) // timeLeft detects cancellation
	}
}

// timeLeft returns how much longer a scope is watched and the minimum time between two watches.
// It returns zero, and marks the scope as no longer watched, when the watch should end.
func (w *concurrentWatcher) timeLeft(scope Scope, failures int) (remaining, minInterval time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	remaining = clock.Until(w.watchUntil)
	if remaining <= 0 || failures >= maxConcurrentWatchFailures || w.lifetime.Err() != nil {
		delete(w.scopes, scope)
		return 0, 0
	}
	return remaining, w.minInterval
}
