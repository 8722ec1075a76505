// Package classshare decides, without input or output, how much of the slot time of an instance each priority is
// guaranteed, so that a class gets more than next to nothing while classes of higher priority ask for more than there
// is. The guarantee is a part of the share that the class would get without priorities, which is in proportion to what
// it asks for: a class with few requests isn't lifted over one with many, and the more urgent class is always granted
// more of what it asks for.
package classshare

import (
	"math"
	"time"
)

const (
	// guaranteedPart is the part of its proportional share of the slot time that a class is guaranteed.
	guaranteedPart = 0.5
	// window is the time over which the demand and the slot time of the classes are averaged.
	window = 2 * time.Second
	// classCount is the number of priorities that are told apart; all beyond share the last class.
	classCount = 8
)

// Shares accounts for the classes of one instance. It is used by one goroutine at a time.
type Shares struct {
	loads     [classCount]load
	updatedAt time.Time
}

// load is slot time in seconds, weighted by age.
type load struct{ demand, granted float64 }

// New returns Shares without loads.
func New() *Shares { return &Shares{} }

// Arrived counts a request that asks for slot time.
func (s *Shares) Arrived(priority int, slotTime time.Duration, now time.Time) {
	s.decay(now)
	s.loads[classOf(priority)].demand += slotTime.Seconds()
}

// Granted counts slot time that a request gets.
func (s *Shares) Granted(priority int, slotTime time.Duration, now time.Time) {
	s.decay(now)
	s.loads[classOf(priority)].granted += slotTime.Seconds()
}

// Guaranteed returns the share of the slot time that a priority is guaranteed, from 0 to 1.
func (s *Shares) Guaranteed(priority int, now time.Time) float64 {
	s.decay(now)
	all := 0.0
	for _, each := range s.loads {
		all += each.demand
	}
	if all == 0 {
		return 0
	}
	return guaranteedPart * s.loads[classOf(priority)].demand / all
}

// Owed returns the slot time by which a priority has had less than it is guaranteed; it is negative if it has had more.
func (s *Shares) Owed(priority int, now time.Time) time.Duration {
	guaranteed, all := s.Guaranteed(priority, now), 0.0
	for _, each := range s.loads {
		all += each.granted
	}
	return time.Duration((guaranteed*all - s.loads[classOf(priority)].granted) * float64(time.Second))
}

// decay reduces the loads by their age.
func (s *Shares) decay(now time.Time) {
	age := now.Sub(s.updatedAt)
	if age <= 0 {
		return
	}
	s.updatedAt = now
	factor := math.Exp(-age.Seconds() / window.Seconds())
	for i := range s.loads {
		s.loads[i].demand *= factor
		s.loads[i].granted *= factor
	}
}

func classOf(priority int) int { return min(max(priority, 0), classCount-1) }
