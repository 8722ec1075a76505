package inbound

import (
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// staleInstances holds, for a limited time, the instance processes that were found to no
// longer serve at their listed address.
type staleInstances struct {
	mutex     sync.Mutex
	processes map[snapshot.InstanceID]time.Time // time at which each was added
}

const (
	// maxStale limits the number of entries.
	maxStale = 1000
	// staleTTL exceeds the time for which an instance stays listed after its process ended.
	staleTTL = 10 * time.Second
)

func (s *staleInstances) add(process snapshot.InstanceID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.processes == nil || len(s.processes) >= maxStale {
		s.processes = make(map[snapshot.InstanceID]time.Time)
	}
	s.processes[process] = time.Now()
}

func (s *staleInstances) has(process snapshot.InstanceID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since, found := s.processes[process]
	return found && time.Since(since) < staleTTL
}
