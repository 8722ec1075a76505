package distribution

import "time"

// freshnessState tracks how long this node has not been told that it holds the newest version.
type freshnessState struct {
	// unconfirmedSince is when the newest confirmation became older than FreshnessLimit; zero while it is not.
	unconfirmedSince time.Time
}

// noticeUnconfirmed logs when the newest confirmation by the source becomes older than FreshnessLimit, with
// what decides whether this node reads the source, and when there is a newer one again.
func (e *Engine) noticeUnconfirmed() {
	f := &e.freshness
	isOld := !e.sourceReader.confirmedAt.IsZero() && e.now.Sub(e.sourceReader.confirmedAt) > e.timing.FreshnessLimit
	switch {
	case isOld && f.unconfirmedSince.IsZero():
		f.unconfirmedSince = e.now
		e.log(LogWarning, "version %s was last confirmed %s ago: reader %t, in the reader group %t, %d of %d links silent for longer than %s",
			e.push.heldVersion(), e.sinceConfirmed(), e.sourceReader.active, e.currentRanking().inGroup(e.options.Self.Node),
			e.countSilent(e.timing.FreshnessLimit), e.overlay.countEstablished(), e.timing.FreshnessLimit)
	case !isOld && !f.unconfirmedSince.IsZero():
		e.log(LogInfo, "version %s is confirmed again, after %s", e.push.heldVersion(), e.now.Sub(f.unconfirmedSince).Round(time.Millisecond))
		f.unconfirmedSince = time.Time{}
	}
}

// sinceConfirmed returns the age of the newest confirmation.
func (e *Engine) sinceConfirmed() time.Duration {
	return e.now.Sub(e.sourceReader.confirmedAt).Round(time.Millisecond)
}

// countSilent counts the established links on which nothing was received for longer than a limit.
func (e *Engine) countSilent(limit time.Duration) int {
	count := 0
	for _, l := range e.overlay.order {
		if l.established() && e.now.Sub(l.lastReceived) > limit {
			count++
		}
	}
	return count
}
