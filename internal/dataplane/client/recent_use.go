package client

import "time"

// recentUseTime is how long the most connections used at once are remembered at least, and at most
// twice as long: bursts of requests last for 3 to 7 s, and each connection that is opened again costs
// a round trip on a link that may be saturated.
const recentUseTime = 5 * time.Second

// recentUse is the most connections used at once lately: in the current period and in the one before.
type recentUse struct {
	began             time.Time
	current, previous int
}

// record records how many connections are in use; it is called whenever the number has risen.
func (u *recentUse) record(now time.Time, inUse int) {
	switch since := now.Sub(u.began); {
	case since >= 2*recentUseTime:
		u.began, u.previous, u.current = now, inUse, inUse
	case since >= recentUseTime:
		u.began, u.previous, u.current = now, u.current, inUse
	default:
		u.current = max(u.current, inUse)
	}
}

// unneeded returns how many of the idle connections exceed what was used lately. One connection is
// always needed: it is kept until its idle timeout, as requests may be rarer than the time remembered.
func (u *recentUse) unneeded(now time.Time, inUse, idle int) int {
	u.record(now, inUse)
	needed := max(u.current, u.previous, 1)
	return min(max(inUse+idle-needed, 0), idle)
}

// recordUse records that a connection was taken. The caller holds the mutex.
func (p *Pool) recordUse() { p.use.record(p.options.Now(), p.open-len(p.idle)) }

// Trim closes the idle connections beyond the most that were used at once lately, those first that
// have been idle for longest.
func (p *Pool) Trim(now time.Time) {
	p.mutex.Lock()
	unneeded := p.use.unneeded(now, p.open-len(p.idle), len(p.idle))
	p.mutex.Unlock()
	p.dropIdle(func(*conn) bool {
		unneeded--
		return unneeded >= 0
	})
}
