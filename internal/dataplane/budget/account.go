package budget

import (
	"time"
)

const (
	// buckets is the number of buckets into which the window of the bound is divided.
	buckets = 40
	// keptBuckets is one more than buckets. All of them together always cover at least the
	// whole window, while the newest ones without the oldest cover at most the window.
	keptBuckets = buckets + 1
)

// slidingWindow sums up values in buckets by the time at which they are added.
type slidingWindow struct {
	values [keptBuckets]float64
	newest int64 // index of the newest bucket
}

// advance moves the window forward to the bucket and clears the buckets that it reuses.
func (s *slidingWindow) advance(number int64) {
	for step := 0; s.newest < number && step < keptBuckets; step++ {
		s.newest++
		s.values[s.newest%keptBuckets] = 0
	}
	s.newest = max(s.newest, number)
}

// add adds a value to the newest bucket.
func (s *slidingWindow) add(value float64) { s.values[s.newest%keptBuckets] += value }

// raiseTo raises the value of the newest bucket to the given one if it is lower.
func (s *slidingWindow) raiseTo(value float64) {
	s.values[s.newest%keptBuckets] = max(s.values[s.newest%keptBuckets], value)
}

// upperSum returns the sum of all buckets, which cover at least the window.
func (s *slidingWindow) upperSum() (sum float64) {
	for _, value := range s.values {
		sum += value
	}
	return sum
}

// lowerSum returns the sum without the oldest bucket; the others cover at most the window.
func (s *slidingWindow) lowerSum() float64 { return s.upperSum() - s.values[(s.newest+1)%keptBuckets] }

// maximum returns the highest value of a bucket.
func (s *slidingWindow) maximum() (highest float64) {
	for _, value := range s.values {
		highest = max(highest, value)
	}
	return highest
}

// account holds what this node counts for one service.
type account struct {
	// requests counts the requests that start at this node, without the calls made by
	// repeated runs.
	requests slidingWindow
	// repeats counts the sends beyond the first of each request and the calls made by
	// repeated runs.
	repeats slidingWindow
	// calls counts the requests that the node's local instance sends.
	calls slidingWindow
}

func (a *account) advance(number int64) {
	a.requests.advance(number)
	a.repeats.advance(number)
	a.calls.advance(number)
}

// epoch is the start of the first bucket. It carries a monotonic clock reading, so that bucket
// numbers do not depend on changes of the wall clock.
var epoch = time.Now()

// windowOf returns the number of the window that contains the given time.
func windowOf(now time.Time, window time.Duration) int64 { return bucketOf(now, window) / buckets }

// bucketOf returns the number of the bucket that contains the given time.
func bucketOf(now time.Time, window time.Duration) int64 {
	width := max(window/buckets, time.Millisecond)
	return now.Sub(epoch).Nanoseconds() / int64(width)
}
