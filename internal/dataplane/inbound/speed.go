package inbound

import (
	"sync"
	"time"
)

const (
	// speedSmoothing is the inverse weight of one request in the estimate.
	speedSmoothing = 48
	// Bounds of a single measurement, which limit the influence of outliers.
	minRatio, maxRatio = 0.1, 6.0
	// minSamples is the number of measurements before the estimate is reported.
	minSamples = 8
)

// speedEstimate estimates the ratio of the instance's processing times to ordinary ones. It
// includes the requests of all senders and is therefore available sooner and more accurate
// than an estimate of each sender.
type speedEstimate struct {
	mutex   sync.Mutex
	ratio   float64
	samples int
}

// record records the processing time of a request and the time that an ordinary instance
// needs for it.
func (s *speedEstimate) record(execution, ordinary time.Duration) {
	if ordinary <= 0 || execution <= 0 {
		return
	}
	ratio := min(max(float64(execution)/float64(ordinary), minRatio), maxRatio)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.samples++
	weight := max(1/float64(s.samples), 1.0/speedSmoothing)
	s.ratio += (ratio - s.ratio) * weight
}

// hundredths returns the estimate in hundredths, as it is reported, or zero if it is not
// known yet.
func (s *speedEstimate) hundredths() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.samples < minSamples {
		return 0
	}
	return max(int(s.ratio*100), 1)
}
