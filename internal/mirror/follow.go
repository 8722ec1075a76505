package mirror

import (
	"context"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// acquireReading waits until no other read of this mirror is running; it returns false if the
// context ends first. The wait does not count against the caller's read timeout, because the
// running read has its own.
func (m *Mirror) acquireReading(ctx context.Context) bool {
	defer source.PauseStallTimeout(ctx)()
	select {
	case m.reading <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Mirror) releaseReading() { <-m.reading }

// backlogSlack is by how many bytes a watch response may exceed the size of a full list before it
// counts as a backlog; it leaves room for many instance changes.
const backlogSlack = 64 << 10

// catchUp brings the state above a revision: by a list at first and instead of a backlog, otherwise
// by one watch. A watch returns everything written since the revision, which may grow by 4.2 MB
// in 2.1 s at ten changes per second; a list returns only the newest values. Listing where a watch
// would be small delays instance changes, by one second on links of 5 Mbit/s. The caller holds the
// reading token.
func (m *Mirror) catchUp(ctx context.Context, after snapshot.Revision, wait time.Duration) source.Outcome {
	ctx = m.withConcurrentWatches(ctx)
	if m.isEmpty() || m.needsList {
		if outcome := m.list(ctx); !succeeded(outcome) {
			return outcome
		}
	}
	if m.isComplete() && m.documentRevision() > after {
		return source.Outcome{Status: source.StatusFresh}
	}
	outcome := m.watch(ctx, m.limitWait(wait))
	if outcome.Status == source.StatusBacklog {
		outcome = m.list(ctx)
	}
	m.endWithholding()
	return outcome
}

// listOnce lists the store, unless another read completed while this one waited for its turn.
func (m *Mirror) listOnce(ctx context.Context) source.Outcome {
	requestedAt := clock.Now()
	if !m.acquireReading(ctx) {
		return source.Outcome{Status: source.StatusUnreachable, Err: ctx.Err()}
	}
	defer m.releaseReading()
	m.mutex.Lock()
	fresh := !m.state.empty() && m.readAt.After(requestedAt)
	m.mutex.Unlock()
	if fresh {
		return source.Outcome{Status: source.StatusFresh}
	}
	return m.list(ctx)
}

var (
	errRestoredWhileListing = eris.New("the store was compacted or restored while it was being listed")
	errEarlierEpoch         = eris.New("the response is from an earlier epoch of the store")
)

// list reads all pages. Later pages are newer than the first one, so changes since the first page
// are read with watches before the state is used.
func (m *Mirror) list(ctx context.Context) source.Outcome {
	next := newState()
	first, last, after, bytes := snapshot.Revision(0), snapshot.Revision(0), "", int64(0)
	for {
		page, outcome := m.listPage(ctx, after)
		if !succeeded(outcome) {
			return outcome
		}
		m.applyListed(ctx, &next, page.Items)
		bytes += outcome.BytesRead
		if first == 0 {
			first = page.At
		}
		if page.At.Epoch() != first.Epoch() {
			return source.Outcome{Status: source.StatusUnreachable, Err: errRestoredWhileListing}
		}
		last, after = page.At, page.Next
		if after == "" {
			break
		}
	}
	next.revision = first
	for next.revision < last {
		events, outcome := m.watchOnce(ctx, next.revision, 0, math.MaxInt64)
		if !succeeded(outcome) {
			return outcome
		}
		if events.Compacted || events.At.Epoch() != next.revision.Epoch() {
			return source.Outcome{Status: source.StatusUnreachable, Err: errRestoredWhileListing}
		}
		m.applyListed(ctx, &next, events.Items)
		next.revision = max(events.At, next.revision.Next())
	}
	m.publishChanges(callList, m.replace(next))
	m.needsList, m.listBytes = false, bytes
	return source.Outcome{Status: source.StatusFresh}
}

// applyListed applies items to a state that is being listed. The time this takes, mainly to compile
// a configuration, is spent by this process and does not count towards the read timeout.
func (m *Mirror) applyListed(ctx context.Context, next *state, items []Item) {
	defer source.PauseStallTimeout(ctx)()
	next.apply(items, m.options, m.faults)
}

func (m *Mirror) listPage(ctx context.Context, after string) (Page, source.Outcome) {
	ctx, end := source.WithStallTimeout(ctx, m.options.Timeout, m.options.Timeout)
	defer end()
	startedAt := clock.Now()
	page, outcome := m.options.Store.List(ctx, after)
	m.recordRead(storeRead{call: callList, startedAt: startedAt, items: len(page.Items), at: page.At}, outcome)
	m.unknown.report(page.Items)
	return page, outcome
}

func (m *Mirror) watchOnce(ctx context.Context, after snapshot.Revision, wait time.Duration, limit int64) (Events, source.Outcome) {
	return m.watchScope(ctx, ScopeAll, after, wait, limit)
}

func (m *Mirror) watchScope(ctx context.Context, scope Scope, after snapshot.Revision, wait time.Duration, limit int64) (Events, source.Outcome) {
	ctx, end := source.WithStallTimeout(ctx, wait+m.options.Timeout, m.options.Timeout)
	defer end()
	startedAt := clock.Now()
	events, outcome := m.options.Store.Watch(ctx, scope, after, wait, limit)
	m.recordRead(storeRead{call: scope.call(), after: after, wait: wait, startedAt: startedAt, items: len(events.Items), at: events.At}, outcome)
	m.unknown.report(events.Items)
	return events, outcome
}

// watch waits for changes and applies them. The caller holds the reading token.
func (m *Mirror) watch(ctx context.Context, wait time.Duration) source.Outcome {
	after := m.revision()
	events, outcome := m.watchOnce(ctx, after, wait, m.listBytes+backlogSlack)
	if !succeeded(outcome) {
		m.needsList = outcome.Status == source.StatusBacklog || outcome.BytesRead > 0 && outcome.Status != source.StatusBusy
		return outcome
	}
	if events.At.Epoch() < after.Epoch() {
		return source.Outcome{Status: source.StatusUnreachable, Err: errEarlierEpoch}
	}
	if events.Compacted || events.At.Epoch() > after.Epoch() {
		m.options.Logger.WithFields(logrus.Fields{"after": after.String(), "epoch": events.At.Epoch()}).
			Warn("the store no longer has the history after the revision: listing the store again")
		return m.list(ctx)
	}
	changes := m.withoutNewReadyInstances(events.Items) // computed before the events are applied
	m.applyEvents(events)
	m.publishChanges(callWatch, changes)
	return outcome
}

func (m *Mirror) applyEvents(events Events) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.readAt = clock.Now()
	if events.At <= m.state.revision {
		return
	}
	if m.state.apply(events.Items, m.options, m.faults) {
		m.state.documentRevision = events.At
		m.publish(m.readAt)
	}
	m.state.revision = events.At
}

// replace installs a listed state and returns its changes of instances and evacuations. An older
// state of the same epoch, or a state of an earlier epoch, is a late response and is dropped.
func (m *Mirror) replace(next state) (changed []Item) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if next.revision < m.state.revision {
		m.options.Logger.WithFields(logrus.Fields{"listed": next.revision.String(), "held": m.state.revision.String()}).
			Warn("the list is older than the state already read: it is dropped")
		return nil
	}
	next.documentRevision = next.revision
	previous := m.state
	m.state, m.readAt = next, clock.Now()
	isFirst := previous.empty()
	if isFirst {
		previous = m.baseline(next)
		m.published.instances, m.published.evacuations = previous.instances, previous.evacuations
		m.published.documentRevision = next.revision
		m.recovery.until = m.readAt.Add(recoveryGrace) // an outage may have come before
	}
	if !previous.empty() && next.revision.Epoch() > previous.revision.Epoch() {
		m.recordRestore(previous)
		m.recovery.withholding = false // nodes themselves retain what the backup lacks
		m.publishNow()
		return next.newerInstancesSince(previous)
	}
	m.publish(m.readAt)
	if isFirst && len(previous.instances) == 0 {
		return nil
	}
	return next.changedSince(previous)
}

// recordRestore records that the store was restored from a backup, replacing the previous state. The
// caller holds the mutex.
func (m *Mirror) recordRestore(previous state) {
	m.restores.Inc()
	next := &m.state
	fields := logrus.Fields{"from": previous.revision.String(), "to": next.revision.String(), "instances_from": len(previous.instances), "instances_to": len(next.instances)}
	if previous.configuration != nil && next.configuration != nil {
		fields["configuration_from"], fields["configuration_to"] = previous.configuration.Origin.Number, next.configuration.Origin.Number
	}
	m.options.Logger.WithFields(fields).Warn("the store was restored from a backup")
}
