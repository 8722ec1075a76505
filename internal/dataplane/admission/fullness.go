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
	// reportPriorities is the number of priorities that are told apart. All beyond share the last one.
	reportPriorities = 8
	// maxServices bounds the number of services that are tracked.
	maxServices = 10_000
	// MaxFullRejections is the number of instances that may reject a request for lack of capacity, and
	// MaxFullRejectionsOfFull that number while the service is known to be full.
	MaxFullRejections       = 2
	MaxFullRejectionsOfFull = 1
)

// Services tells from the latest reports which services are full, for requests of each priority: where only
// requests of lower priority are rejected, others have capacity. It is safe for concurrent use.
type Services struct {
	mutex    sync.Mutex
	services map[string]*reports
}

// reports counts the reports of one service, weighted by age as of updatedAt.
type reports struct {
	byPriority [reportPriorities]reportCounts
	updatedAt  time.Time
}

// reportCounts are the reports on the requests of one priority.
type reportCounts struct{ rejected, others float64 }

// NewServices returns Services without reports.
func NewServices() *Services { return &Services{services: make(map[string]*reports)} }

// Reported records a report of an instance of a service on a request of a priority, and whether it rejects the
// request for lack of capacity.
func (s *Services) Reported(service string, priority int, rejected bool, now time.Time) {
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
	counts := &known.byPriority[reportPriority(priority)]
	if rejected {
		counts.rejected++
	} else {
		counts.others++
	}
}

// IsFull reports whether a service as a whole is known to be full for requests of a priority.
func (s *Services) IsFull(service string, priority int, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.services[service]
	if known == nil {
		return false
	}
	known.decay(now)
	return known.isFull(reportPriority(priority))
}

// MaxRejections returns how many instances of a service may reject a request of a priority for lack of capacity.
func (s *Services) MaxRejections(service string, priority int, now time.Time) int {
	if s.IsFull(service, priority, now) {
		return MaxFullRejectionsOfFull
	}
	return MaxFullRejections
}

func reportPriority(priority int) int { return min(max(priority, 0), reportPriorities-1) }

// isFull applies the reports that tell about a priority: where a request is rejected, so is one of lower
// priority, and where one is not, neither is one of higher priority.
func (r *reports) isFull(priority int) bool {
	rejected, others := 0.0, 0.0
	for each, counts := range r.byPriority {
		if each <= priority {
			rejected += counts.rejected
		}
		if each >= priority {
			others += counts.others
		}
	}
	return rejected+others >= minReports && rejected >= fullShare*(rejected+others)
}

func (r *reports) decay(now time.Time) {
	age := now.Sub(r.updatedAt)
	if age <= 0 {
		return
	}
	r.updatedAt = now
	factor := math.Exp2(-float64(age) / float64(reportHalfLife))
	for i := range r.byPriority {
		r.byPriority[i].rejected *= factor
		r.byPriority[i].others *= factor
	}
}
