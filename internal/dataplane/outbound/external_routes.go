package outbound

import "sync"

// maxExternalRoutes limits the number of routes that are kept.
const maxExternalRoutes = 10_000

// externalRoutes are the routes whose requests start outside all services, by the reports of the
// instances' sidecars: external callers send them. Requests of all other routes may be calls
// of instances. It is safe for concurrent use.
type externalRoutes struct {
	mutex sync.RWMutex
	names map[string]bool
}

// add adds a route that external callers use.
func (s *externalRoutes) add(name string) {
	if s.has(name) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.names == nil || len(s.names) >= maxExternalRoutes {
		s.names = make(map[string]bool)
	}
	s.names[name] = true
}

func (s *externalRoutes) has(name string) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.names[name]
}
