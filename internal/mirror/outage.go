package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/winchhead/winchhead/internal/clock"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

const (
	// minOutage is how long reads must have failed for leases to have expired meanwhile; reads also
	// fail for shorter times without any expired lease.
	minOutage = time.Second
	// recoveryGrace is how long after the end of an outage the removal of instances is withheld:
	// running instances write their entries again in that time.
	recoveryGrace = 2 * time.Second
	// minMissingShare is the share of ready instances that must be missing at once; fewer may have
	// stopped normally.
	minMissingShare = 0.25
	// minMissingInstances is the minimum number of missing instances.
	minMissingInstances = 2
)

// outageRecovery tracks store outages. Leases expire during an outage, so that the store afterwards
// lists fewer instances than are running.
type outageRecovery struct {
	// lastAnswerAt is when a read last returned a response; failed says whether a read has failed
	// since then.
	lastAnswerAt time.Time
	failed       bool
	// until is when the grace period ends; zero if there was no outage.
	until time.Time
	// withholding says that the state read from the store is not published, because instances
	// disappeared in the outage.
	withholding bool
	// removed holds the keys of ready instances removed since the outage.
	removed map[string]bool
}

// answered records a read with a response. The grace period starts at the first response after an
// outage; it also starts at the very first response, which may follow an outage too.
func (r *outageRecovery) answered(now time.Time) {
	if r.lastAnswerAt.IsZero() || r.failed && now.Sub(r.lastAnswerAt) >= minOutage {
		r.until = now.Add(recoveryGrace)
	}
	r.lastAnswerAt, r.failed = now, false
}

// recordRead logs a read and records whether it returned a response.
func (m *Mirror) recordRead(done storeRead, outcome source.Outcome) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reads.record(m.options.Logger, done, outcome, m.recovery.lastAnswerAt, clock.Now())
	switch {
	case succeeded(outcome), outcome.Status == source.StatusBacklog:
		m.recovery.answered(clock.Now())
	case !errors.Is(outcome.Err, context.Canceled):
		m.recovery.failed = true
	}
}

// publish publishes the state, unless it is withheld after an outage. The caller holds the mutex.
func (m *Mirror) publish(now time.Time) {
	if m.withholdsState(now) {
		return
	}
	m.publishNow()
}

// publishNow publishes the state, unless it lacks a valid configuration that was published before: a
// list may return an invalid one, and the last valid one may have been written since the last read.
// The caller holds the mutex.
func (m *Mirror) publishNow() {
	if m.state.configuration == nil && m.published.configuration != nil {
		m.options.Logger.WithField("revision", m.state.revision).Warn("the list has no valid configuration: waiting for one")
		return
	}
	m.published, m.document = m.state.clone(m.published), nil
	m.notify()
}

// withholdsState reports whether the state is withheld after an outage. The caller holds the mutex.
func (m *Mirror) withholdsState(now time.Time) bool {
	missing := m.published.missingFrom(m.state)
	switch {
	case missing == 0 || m.options.DisableRecoveryGrace || !now.Before(m.recovery.until):
		m.recovery.withholding = false
	case !m.recovery.withholding && m.published.isMassRemoval(missing):
		m.recovery.withholding = true
		m.options.Logger.WithField("missing", missing).WithField("revision", m.state.revision).
			Warn("instances disappeared while the store was unavailable: their return is awaited before the removal is published")
	}
	return m.recovery.withholding
}

// withholdsRemovals reports whether the instances removed by the items may return, so that their
// removal must not be published ahead of the document: many leases expire together in an outage.
func (m *Mirror) withholdsRemovals(items []Item) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := &m.recovery
	if m.options.DisableRecoveryGrace || !r.withholding && !clock.Now().Before(r.until) {
		r.removed = nil
		return false
	}
	if r.removed == nil {
		r.removed = make(map[string]bool)
	}
	for _, item := range items {
		if held, listed := m.published.instances[item.Key]; item.Removed && listed && held.State == snapshot.InstanceReady {
			r.removed[item.Key] = true
		}
	}
	return r.withholding || m.published.isMassRemoval(len(r.removed))
}

// isMassRemoval reports whether the number of missing instances indicates expired leases; fewer may
// have stopped normally.
func (s *state) isMassRemoval(missing int) bool {
	return missing >= max(minMissingInstances, int(minMissingShare*float64(s.readyCount())))
}

// endWithholding publishes the withheld state once the grace period is over.
func (m *Mirror) endWithholding() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now := clock.Now(); m.recovery.withholding && !now.Before(m.recovery.until) {
		m.options.Logger.WithField("missing", m.published.missingFrom(m.state)).
			Warn("instances that disappeared while the store was unavailable have not returned: publishing their removal")
		m.publish(now)
	}
}

// limitWait ends a watch no later than the grace period while the state is withheld.
func (m *Mirror) limitWait(wait time.Duration) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.recovery.withholding {
		return wait
	}
	return min(wait, max(clock.Until(m.recovery.until), 0))
}

// missingFrom counts the ready instances that are missing from a newer state.
func (s *state) missingFrom(newer state) int {
	missing := 0
	for key, instance := range s.instances {
		if instance.State == snapshot.InstanceReady && !newer.lists(key, instance.Name) {
			missing++
		}
	}
	return missing
}

func (s *state) readyCount() int {
	count := 0
	for _, instance := range s.instances {
		if instance.State == snapshot.InstanceReady {
			count++
		}
	}
	return count
}
