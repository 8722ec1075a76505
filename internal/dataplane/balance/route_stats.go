package balance

import (
	"math"
	"time"
)

const (
	// initialServiceTime is the service time of a route before any measurement.
	initialServiceTime = 100 * time.Millisecond
	// routeMeanDivisor is the reciprocal of the weight of one measurement in a route's means.
	routeMeanDivisor = 32
	// initialAnswerBytes is the size of a route's answers before any was seen.
	initialAnswerBytes = 1024

	// The distribution of service times is kept as a histogram of their ratio to the
	// expected time, with four buckets per octave, from 1/16 to 16.
	bucketsPerOctave = 4
	octaves          = 4
	ratioBuckets     = 2*octaves*bucketsPerOctave + 1
	// priorWeight is the number of measurements that the initial distribution counts for.
	priorWeight = 8.0
	// halveCountsAt is the number of measurements at which all counts are halved.
	halveCountsAt = 512.0
)

// routeStats holds the service times of a route, normalized to an instance of average
// speed, and the size of its answers.
type routeStats struct {
	meanServiceTime time.Duration
	measured        bool
	// ratioCounts counts service times by their ratio to the expected time; totalCount is
	// the sum of the counts.
	ratioCounts [ratioBuckets]float64
	totalCount  float64
	// answerBytes is the mean size of the answers.
	answerBytes float64
}

// newRouteStats returns statistics that assume exponentially distributed service times.
func newRouteStats() *routeStats {
	created := &routeStats{meanServiceTime: initialServiceTime, answerBytes: initialAnswerBytes}
	for i := range created.ratioCounts {
		above := 1.0
		if i+1 < ratioBuckets {
			above = 1 - math.Exp(-bucketRatio(float64(i)+0.5))
		}
		below := 0.0
		if i > 0 {
			below = 1 - math.Exp(-bucketRatio(float64(i)-0.5))
		}
		created.ratioCounts[i] = priorWeight * (above - below)
		created.totalCount += created.ratioCounts[i]
	}
	return created
}

// bucketRatio returns the ratio at the middle of a bucket.
func bucketRatio(bucket float64) float64 {
	return math.Exp2(bucket/bucketsPerOctave - octaves)
}

// bucketPosition returns the position of a ratio among the buckets, whose middles have
// integer positions.
func bucketPosition(ratio float64) float64 {
	if ratio <= 0 {
		return math.Inf(-1)
	}
	return (math.Log2(ratio) + octaves) * bucketsPerOctave
}

// recordServiceTime adds a service time measured at an instance with the given slowdown.
func (t *routeStats) recordServiceTime(execution time.Duration, slowdown float64) {
	normalized := time.Duration(float64(execution) / slowdown)
	if !t.measured {
		t.meanServiceTime, t.measured = normalized, true
	}
	t.countRatio(float64(normalized) / float64(max(t.meanServiceTime, time.Millisecond)))
	t.meanServiceTime += (normalized - t.meanServiceTime) / routeMeanDivisor
}

func (t *routeStats) countRatio(ratio float64) {
	bucket := int(math.Round(min(max(bucketPosition(ratio), 0), ratioBuckets-1)))
	t.ratioCounts[bucket]++
	t.totalCount++
	if t.totalCount < halveCountsAt {
		return
	}
	for i := range t.ratioCounts {
		t.ratioCounts[i] /= 2
	}
	t.totalCount /= 2
}

// fractionWithin returns the share of requests that take no longer than limit at an
// instance with the given expected service time.
func (t *routeStats) fractionWithin(limit, serviceTime time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	limitPosition := bucketPosition(float64(limit)/float64(max(serviceTime, time.Millisecond))) + 0.5
	sum := 0.0
	for i := range t.ratioCounts {
		switch share := limitPosition - float64(i); {
		case share >= 1:
			sum += t.ratioCounts[i]
		case share > 0:
			sum += t.ratioCounts[i] * share
		}
	}
	return sum / t.totalCount
}
