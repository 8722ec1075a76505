package outbound

import "sync"

// maxSharedRoutes bounds the routes that are remembered.
const maxSharedRoutes = 10_000

// sharedRoutes are the routes whose requests start beside all services, as the nodes
// beside instances told: callers send them. All others may be calls of instances. It is
// safe for concurrent use.
type sharedRoutes struct {
	mutex sync.RWMutex
	names map[string]bool
}

// add notes a route that callers send.
func (s *sharedRoutes) add(name string) {
	if s.has(name) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.names == nil || len(s.names) >= maxSharedRoutes {
		s.names = make(map[string]bool)
	}
	s.names[name] = true
}

func (s *sharedRoutes) has(name string) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.names[name]
}
