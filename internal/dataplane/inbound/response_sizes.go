package inbound

import "sync"

const (
	// sizeSmoothing is the inverse weight of one response in the mean size of a route's responses.
	sizeSmoothing = 32
	// maxSizedRoutes bounds the number of routes whose sizes are kept.
	maxSizedRoutes = 1000
)

// responseSizes holds the mean size of the responses of each route. It is safe for concurrent use.
type responseSizes struct {
	mutex  sync.Mutex
	routes map[string]responseSize
}

type responseSize struct {
	mean    float64 // in bytes
	samples int
}

// record adds a response with the given size in bytes. A negative size is not known and is ignored.
func (s *responseSizes) record(route string, bytes int64) {
	if bytes < 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, listed := s.routes[route]
	if !listed && len(s.routes) >= maxSizedRoutes || s.routes == nil {
		s.routes = make(map[string]responseSize) // those in use are learned again with their next responses
	}
	known.samples = min(known.samples+1, sizeSmoothing)
	known.mean += (float64(bytes) - known.mean) / float64(known.samples)
	s.routes[route] = known
}

// mean returns the mean size of a route's responses in bytes; zero if it is not known.
func (s *responseSizes) mean(route string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int64(s.routes[route].mean)
}

// countFrom returns the number of routes whose mean is at least the given size.
func (s *responseSizes) countFrom(bytes int64) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, known := range s.routes {
		if int64(known.mean) >= bytes {
			count++
		}
	}
	return count
}
