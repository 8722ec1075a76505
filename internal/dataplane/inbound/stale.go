package inbound

import (
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// staleInstances holds, for a limited time, the instance processes that were found to no
// longer serve at their listed address.
type staleInstances struct {
	mutex sync.Mutex
	lives map[snapshot.Life]time.Time // time at which each was added
}

const (
	// maxStale limits the number of entries.
	maxStale = 1000
	// staleTTL exceeds the time for which an instance stays listed after its process ended.
	staleTTL = 10 * time.Second
)

func (s *staleInstances) add(life snapshot.Life) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lives == nil || len(s.lives) >= maxStale {
		s.lives = make(map[snapshot.Life]time.Time)
	}
	s.lives[life] = time.Now()
}

func (s *staleInstances) has(life snapshot.Life) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	since, found := s.lives[life]
	return found && time.Since(since) < staleTTL
}
