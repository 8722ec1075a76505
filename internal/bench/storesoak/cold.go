package storesoak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// coldRatePerSecond is the rate that the configuration declares for a cold instance. The
	// instance fails above coldOverloadPerSecond, which leaves room for what nodes may send
	// beyond the declared rate with their default settings.
	coldRatePerSecond, coldOverloadPerSecond = 4, 8
	// coldStartDuration is how long an instance stays cold.
	coldStartDuration = 3 * time.Second
)

// kindsBeforeColdStart is how many kinds of faults precede cold instances. Regressions with
// at most that many run without cold start rates, as they did when they were recorded.
const kindsBeforeColdStart = 20

// replaceByColdInstance drains an instance and starts a cold one at its address.
func replaceByColdInstance(random *rand.Rand, f *fleet) fault {
	m := randomMachine(random, f)
	return fault{
		name: "replace an instance with a cold one", machines: []int{m.number},
		begin: func(context.Context) error { m.replacing.Lock(); f.drain(m); return nil },
		undo:  func(context.Context) error { return f.finishReplacement(m, coldStartDuration) },
	}
}

// checkColdInstances reports the instances that were overloaded while they were cold.
func (s *soak) checkColdInstances() {
	for _, m := range s.fleet.machines {
		for _, emulated := range m.instances() {
			if emulated.Overloaded() {
				s.report.ColdOverloads++
				s.violation("%s received more than %d requests within a second while it was cold", emulated.Name, coldOverloadPerSecond)
			}
		}
	}
}
