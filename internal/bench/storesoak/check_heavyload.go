package storesoak

import "net/http"

const (
	// classTolerance is by how much less the calls of the most urgent class may be served than those of
	// the least urgent one.
	classTolerance = 0.05
	// minClassCalls are needed to compare classes: with fewer, chance exceeds the tolerance.
	minClassCalls = 200
	// minSmallServedShare is the share of small answers that must come in times without faults while
	// large ones are sent.
	minSmallServedShare = 0.95
	// mostUrgent and leastUrgent are the priorities that are compared.
	mostUrgent, leastUrgent = 0, 2
)

// HeavyLoadReport is the part of a Report about heavy load. All counts but Packs and PacksServed are of
// times without faults.
type HeavyLoadReport struct {
	// Packs are the calls with large answers, and PacksServed those that were answered completely.
	Packs       int `json:"packs"`
	PacksServed int `json:"packs_served"`
	// Stopped are the large answers whose readers stopped for a while.
	Stopped int `json:"readers_stopped"`
	// Unanswered got no complete answer.
	Unanswered int `json:"unanswered"`
	// Urgent, Usual and Bulk are the classes of priority 0, 1 and 2 of one service, Fetches the calls whose
	// runs call that service, and Small the calls with small answers beside the large ones.
	Urgent  Tally `json:"urgent"`
	Usual   Tally `json:"usual"`
	Bulk    Tally `json:"bulk"`
	Fetches Tally `json:"fetches"`
	Small   Tally `json:"small"`
}

// Tally counts calls.
type Tally struct {
	Sent   int `json:"sent"`
	Served int `json:"served"`
}

// Share returns the share of the calls that were served, 1 if none were sent.
func (t Tally) Share() float64 {
	if t.Sent == 0 {
		return 1
	}
	return float64(t.Served) / float64(t.Sent)
}

func (t *Tally) add(c *call) {
	t.Sent++
	if c.status == http.StatusOK {
		t.Served++
	}
}

// checkHeavyLoad checks, in times without faults, that each call gets a complete answer, that the most
// urgent class is served at least as often as the least urgent one, and that small answers come.
func (s *soak) checkHeavyLoad(calls []*call) {
	if s.fleet.heavy == nil {
		return
	}
	report := &s.report.HeavyLoad
	for _, c := range calls {
		report.countPack(c)
		if c.isLimitedByTenant() || !s.history.isFaultFree(c.sent, c.ended) {
			continue
		}
		report.count(c)
		if c.status == 0 {
			report.Unanswered++
			s.violation("%s got no complete answer through machine %d, without a fault, after %s: %v", c.id, c.machine, c.ended.Sub(c.sent), c.err)
		}
	}
	if report.Urgent.Sent >= minClassCalls && report.Bulk.Sent >= minClassCalls && report.Urgent.Share() < report.Bulk.Share()-classTolerance {
		s.violation("%.3f of %d calls of priority %d were served, but %.3f of %d of priority %d", report.Urgent.Share(), report.Urgent.Sent,
			mostUrgent, report.Bulk.Share(), report.Bulk.Sent, leastUrgent)
	}
	if report.Small.Sent >= minClassCalls && report.Small.Share() < minSmallServedShare {
		s.violation("only %d of %d small answers came beside large ones", report.Small.Served, report.Small.Sent)
	}
}

// isLimitedByTenant reports whether a call was refused for its key or the quota of its tenant, which
// checkTenants checks.
func (c *call) isLimitedByTenant() bool {
	return c.key != "" && c.status == http.StatusTooManyRequests || c.status == http.StatusUnauthorized
}

func (r *HeavyLoadReport) countPack(c *call) {
	if c.heavy == nil || c.heavy.name != routePack {
		return
	}
	r.Packs++
	if c.status == http.StatusOK {
		r.PacksServed++
	}
}

// count adds a call of a time without faults to its class.
func (r *HeavyLoadReport) count(c *call) {
	switch {
	case c.readingStop > 0:
		r.Stopped++
	case c.heavy == nil && c.kind == kindRead && !c.crashesInstances() && !makesNestedCalls(c.id):
		r.Small.add(c)
	case c.heavy == nil || c.heavy.name == routePack:
	case c.heavy.service == serviceRead:
		r.Fetches.add(c)
	default:
		[]*Tally{mostUrgent: &r.Urgent, 1: &r.Usual, leastUrgent: &r.Bulk}[c.heavy.priority].add(c)
	}
}
