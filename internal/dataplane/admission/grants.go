package admission

import (
	"math"
	"time"
)

const (
	// recentWindow is the time over which granted slot time is averaged. usualWindow is that for the load
	// to which the service returns after an overload, which mostly lasts for some seconds.
	recentWindow = 500 * time.Millisecond
	usualWindow  = 30 * time.Second
	// maxClass bounds the number of priorities that are told apart; less urgent ones count as one.
	maxClass = 100
	// silentServiceTimes and minSilence are how long no slot may be granted, in service times and at least,
	// until the measurements say nothing any more: the instance hangs or was idle.
	silentServiceTimes = 4
	minSilence         = time.Second
	// minObserved is the least time that the first grants are averaged over.
	minObserved = 50 * time.Millisecond
	// stretchDivisor is the inverse weight of one request in the stretch.
	stretchDivisor = 32
	// Bounds of one measurement of the stretch, which limit the influence of outliers.
	minStretch, maxStretch = 0.2, 5.0
)

// Class is a kind of request by the order in which slots are granted.
type Class struct {
	// Late is set if the request goes behind all others that are not.
	Late bool
	// Priority is the rank of the request, Value the rank of its answer within the priority; 0 goes first.
	Priority, Value int
}

// precedes reports whether requests of the class go ahead of those of another one.
func (c Class) precedes(other Class) bool {
	if c.Late != other.Late {
		return other.Late
	}
	return c.Priority < other.Priority || c.Priority == other.Priority && c.Value < other.Value
}

func (c Class) bounded() Class {
	return Class{Late: c.Late, Priority: min(max(c.Priority, 0), maxClass), Value: min(max(c.Value, 0), maxClass)}
}

// Grants measures the slot time that requests are granted, by their class. It is used by one goroutine at a
// time.
type Grants struct {
	recent, usual       slotTime
	lastGrantAt         time.Time
	stretch             float64
	stretchMeasurements float64
}

// NewGrants returns Grants without measurements.
func NewGrants() *Grants {
	return &Grants{
		recent: slotTime{window: recentWindow, seconds: make(map[Class]float64)},
		usual:  slotTime{window: usualWindow, seconds: make(map[Class]float64)}, stretch: 1,
	}
}

// Granted records a slot that is granted to a request which is expected to hold it for the given time.
func (g *Grants) Granted(class Class, expected time.Duration, now time.Time) {
	g.lastGrantAt = now
	g.recent.add(class.bounded(), expected, now)
	g.usual.add(class.bounded(), expected, now)
}

// Released records for how long a slot was held that was expected to be held for a given time.
func (g *Grants) Released(expected, held time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(held)/float64(expected), minStretch), maxStretch)
	g.stretchMeasurements = min(g.stretchMeasurements+1, stretchDivisor)
	g.stretch += (ratio - g.stretch) / g.stretchMeasurements
}

// Stretch returns how many times longer slots are held than expected.
func (g *Grants) Stretch() float64 { return g.stretch }

// Known reports whether the measurements say anything about an instance with the given service time.
func (g *Grants) Known(serviceTime time.Duration, now time.Time) bool {
	return g.stretchMeasurements > 0 && now.Sub(g.lastGrantAt) <= max(silentServiceTimes*serviceTime, minSilence)
}

// Recent returns the number of slots that requests take now which go ahead of those of a class.
func (g *Grants) Recent(class Class, now time.Time) float64 {
	return g.stretch * g.recent.before(class.bounded(), now)
}

// Overtaking returns the number of slots that such requests are expected to take in the next seconds: as now,
// or as usual if that is less, since an overload ends at some time.
func (g *Grants) Overtaking(class Class, now time.Time) float64 {
	return min(g.Recent(class, now), g.stretch*g.usual.before(class.bounded(), now))
}

// slotTime is granted slot time in seconds by class, weighted by age as of updatedAt.
type slotTime struct {
	window             time.Duration
	seconds            map[Class]float64
	firstAt, updatedAt time.Time
}

func (s *slotTime) add(class Class, expected time.Duration, now time.Time) {
	s.decay(now)
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	s.seconds[class] += expected.Seconds()
}

// before returns the slots taken by the classes that precede a class.
func (s *slotTime) before(class Class, now time.Time) float64 {
	s.decay(now)
	sum := 0.0
	for other, seconds := range s.seconds {
		if other.precedes(class) {
			sum += seconds
		}
	}
	observed := s.window.Seconds() * (1 - math.Exp(-now.Sub(s.firstAt).Seconds()/s.window.Seconds()))
	return sum / max(observed, minObserved.Seconds())
}

// decay reduces the slot time by its age.
func (s *slotTime) decay(now time.Time) {
	age := now.Sub(s.updatedAt)
	if age <= 0 {
		return
	}
	s.updatedAt = now
	factor := math.Exp(-age.Seconds() / s.window.Seconds())
	for class := range s.seconds {
		s.seconds[class] *= factor
	}
}
