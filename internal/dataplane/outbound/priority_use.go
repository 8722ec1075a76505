package outbound

import (
	"math"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// minUrgentShare is the share of priority 0 among a node's requests from which routes count as ranked. Routes
	// without a priority have 0 as well: the few requests of test or administrative routes rank nothing.
	minUrgentShare = 0.1
	// minCountedRequests is the number of requests, weighted by age, below which the share says nothing.
	minCountedRequests = 50
	// priorityHalfLife is the half-life of the counts.
	priorityHalfLife = 20 * time.Second
)

// priorityUse counts the requests that start at a node by whether they have priority 0. It is safe for
// concurrent use.
type priorityUse struct {
	mutex         sync.Mutex
	urgent, total float64
	updatedAt     time.Time
}

// arrived counts a request of a route of the given priority.
func (u *priorityUse) arrived(priority int, now time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if age := now.Sub(u.updatedAt); age > 0 {
		factor := math.Exp2(-float64(age) / float64(priorityHalfLife))
		u.urgent, u.total, u.updatedAt = u.urgent*factor, u.total*factor, now
	}
	u.total++
	if priority == 0 {
		u.urgent++
	}
}

// ranks reports whether priority 0 distinguishes requests: the configuration has routes of lower priority too, and
// a share of the requests has priority 0.
func (u *priorityUse) ranks(current *snapshot.Snapshot) bool {
	if !current.RanksRoutes() {
		return false
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.total >= minCountedRequests && u.urgent >= minUrgentShare*u.total
}
