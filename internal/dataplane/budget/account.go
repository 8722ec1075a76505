package budget

import (
	"time"
)

const (
	// buckets divide the window of the bound.
	buckets = 40
	// kept is one bucket more: together they cover the whole window at any moment, while
	// the newest of them alone, as many as buckets, cover it at most.
	kept = buckets + 1
)

// series counts by moments: each value goes into the bucket of its moment.
type series struct {
	values [kept]float64
	newest int64 // number of the newest bucket
}

// advance empties the buckets that are too old.
func (s *series) advance(number int64) {
	for step := 0; s.newest < number && step < kept; step++ {
		s.newest++
		s.values[s.newest%kept] = 0
	}
	s.newest = max(s.newest, number)
}

// add puts a value into the newest bucket.
func (s *series) add(value float64) { s.values[s.newest%kept] += value }

// raise makes the value of the newest bucket at least as great as another.
func (s *series) raise(value float64) {
	s.values[s.newest%kept] = max(s.values[s.newest%kept], value)
}

// most adds up what covers the window or more.
func (s *series) most() (sum float64) {
	for _, value := range s.values {
		sum += value
	}
	return sum
}

// least adds up what covers the window at most.
func (s *series) least() float64 { return s.most() - s.values[(s.newest+1)%kept] }

// greatest is the greatest of the values.
func (s *series) greatest() (greatest float64) {
	for _, value := range s.values {
		greatest = max(greatest, value)
	}
	return greatest
}

// account is what this node knows of its sends to one service.
type account struct {
	// requests are those that start at this node, but for calls of repeated runs.
	requests series
	// repeats are the sends beyond the first, and the calls of repeated runs.
	repeats series
	// calls are the requests that the instance beside the node sends.
	calls series
}

func (a *account) advance(number int64) {
	a.requests.advance(number)
	a.repeats.advance(number)
	a.calls.advance(number)
}

// epoch makes bucket numbers from the monotonic clock.
var epoch = time.Now()

// windowOf is the number of the window of a moment.
func windowOf(now time.Time, window time.Duration) int64 { return bucketOf(now, window) / buckets }

// bucketOf is the number of the bucket of a moment.
func bucketOf(now time.Time, window time.Duration) int64 {
	width := max(window/buckets, time.Millisecond)
	return now.Sub(epoch).Nanoseconds() / int64(width)
}
