package storesoak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// coldPerSecond is what a cold instance bears by the configuration, coldMost from how many
	// on it falls over: with the bounds that nodes have unless they are told others.
	coldPerSecond, coldMost = 4, 8
	// coldStart is how long instances of the configuration are cold.
	coldStart = 3 * time.Second
)

// kindsWithoutCold is how many kinds of faults there were before cold instances: soaks of that
// time play as they did.
const kindsWithoutCold = 20

// startCold ends an instance as planned and starts a cold one at its address.
func startCold(random *rand.Rand, f *fleet) fault {
	m := oneOf(random, f)
	return fault{
		name: "replace an instance by a cold one", machines: []int{m.number},
		begin: func(context.Context) error { m.replacing.Lock(); f.drain(m); return nil },
		undo:  func(context.Context) error { return f.endReplacement(m, coldStart) },
	}
}

// judgeCold finds the instances that got more than they bore while they were cold.
func (s *soak) judgeCold() {
	for _, m := range s.fleet.machines {
		for _, emulated := range m.instances() {
			if emulated.FellOver() {
				s.report.FellOver++
				s.broken("%s got more than %d requests in a second while it was cold", emulated.Name, coldMost)
			}
		}
	}
}
