package admission

import (
	"math"
	"time"
)

const (
	// grantWindow is the time over which granted slot time is averaged.
	grantWindow = 500 * time.Millisecond
	// maxClass bounds the number of priorities that are told apart; less urgent ones count as one.
	maxClass = 100
	// silentServiceTimes and minSilence are how long no slot may be granted, in service times and at least,
	// until the measurements say nothing any more: the instance hangs or was idle.
	silentServiceTimes = 4
	minSilence         = time.Second
	// stretchDivisor is the inverse weight of one request in the stretch.
	stretchDivisor = 32
	// Bounds of one measurement of the stretch, which limit the influence of outliers.
	minStretch, maxStretch = 0.2, 5.0
)

// Grants measures the slot time that requests are granted, by their priority and by whether they can be in
// time. It is used by one goroutine at a time.
type Grants struct {
	// slotTime is in seconds, weighted by age as of updatedAt.
	slotTime            map[class]float64
	firstAt, updatedAt  time.Time
	lastGrantAt         time.Time
	stretch             float64
	stretchMeasurements float64
}

// class is a kind of request: a late one goes behind those of its priority that can be in time.
type class struct {
	priority int
	late     bool
}

// NewGrants returns Grants without measurements.
func NewGrants() *Grants { return &Grants{slotTime: make(map[class]float64), stretch: 1} }

// Granted records a slot that is granted to a request which is expected to hold it for the given time.
func (g *Grants) Granted(priority int, late bool, expected time.Duration, now time.Time) {
	g.decay(now)
	if g.firstAt.IsZero() {
		g.firstAt = now
	}
	g.lastGrantAt = now
	g.slotTime[class{min(max(priority, 0), maxClass), late}] += expected.Seconds()
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

// Overtaking returns the number of slots that requests take which go ahead of late ones of a priority.
func (g *Grants) Overtaking(priority int, now time.Time) float64 {
	g.decay(now)
	priority = min(max(priority, 0), maxClass)
	sum := 0.0
	for kind, seconds := range g.slotTime {
		if kind.priority < priority || kind.priority == priority && !kind.late {
			sum += seconds
		}
	}
	window := grantWindow.Seconds() * (1 - math.Exp(-now.Sub(g.firstAt).Seconds()/grantWindow.Seconds()))
	return g.stretch * sum / max(window, grantWindow.Seconds()/8)
}

// decay reduces the slot time by its age.
func (g *Grants) decay(now time.Time) {
	age := now.Sub(g.updatedAt)
	if age <= 0 {
		return
	}
	g.updatedAt = now
	factor := math.Exp(-age.Seconds() / grantWindow.Seconds())
	for kind := range g.slotTime {
		g.slotTime[kind] *= factor
	}
}
