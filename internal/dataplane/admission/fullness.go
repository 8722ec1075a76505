package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// reportHalfLife is the half-life of the counts of reports.
	reportHalfLife = 250 * time.Millisecond
	// minReports is the weight of reports from which a service may count as full.
	minReports = 4
	// fullShare is the share of rejections among the reports from which a service counts as full: another
	// instance then rejects the request as well, or takes it in place of a later one.
	fullShare = 0.2
	// maxServices bounds the number of services that are tracked.
	maxServices = 10_000
	// MaxFullRejections is the number of instances that may reject a request for lack of capacity, and
	// MaxFullRejectionsOfFull that number while the service is known to be full.
	MaxFullRejections       = 2
	MaxFullRejectionsOfFull = 1
)

// Services tells from the latest reports which services are full. It is safe for concurrent use.
type Services struct {
	mutex    sync.Mutex
	services map[string]*reports
}

// reports counts the reports of one service, weighted by age as of updatedAt.
type reports struct {
	all, rejections float64
	updatedAt       time.Time
}

// NewServices returns Services without reports.
func NewServices() *Services { return &Services{services: make(map[string]*reports)} }

// Reported records a report of an instance of a service, and whether it rejects a request for lack of
// capacity.
func (s *Services) Reported(service string, rejected bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.services[service]
	if known == nil {
		if len(s.services) >= maxServices {
			s.services = make(map[string]*reports)
		}
		known = &reports{updatedAt: now}
		s.services[service] = known
	}
	known.decay(now)
	known.all++
	if rejected {
		known.rejections++
	}
}

// IsFull reports whether a service as a whole is known to be full.
func (s *Services) IsFull(service string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.services[service]
	if known == nil {
		return false
	}
	known.decay(now)
	return known.all >= minReports && known.rejections >= fullShare*known.all
}

// MaxRejections returns how many instances of a service may reject a request for lack of capacity.
func (s *Services) MaxRejections(service string, now time.Time) int {
	if s.IsFull(service, now) {
		return MaxFullRejectionsOfFull
	}
	return MaxFullRejections
}

func (r *reports) decay(now time.Time) {
	age := now.Sub(r.updatedAt)
	if age <= 0 {
		return
	}
	r.updatedAt = now
	factor := math.Exp2(-float64(age) / float64(reportHalfLife))
	r.all *= factor
	r.rejections *= factor
}
