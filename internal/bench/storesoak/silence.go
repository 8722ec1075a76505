package storesoak

import (
	"context"
	"math/rand/v2"
	"time"
)

// silenceDetectionTime is the time within which users require nodes to detect idle connections
// that fell silent.
const silenceDetectionTime = 3 * time.Second

// silenceConnections makes all open connections from others to some nodes fall silent without
// a reset; new connections work.
func silenceConnections(random *rand.Rand, f *fleet) fault {
	numbers := randomMachines(random, f, 1+random.IntN(len(f.machines)/2))
	return fault{
		name: "connections fall silent", machines: numbers, impaired: numbers, duration: silenceDetectionTime,
		begin: func(context.Context) error {
			return f.forAll(numbers, func(m *machine) error {
				m.data.stalling.StallOpenConnections()
				m.peers.stalling.StallOpenConnections()
				return nil
			})
		},
		undo: func(context.Context) error { return nil },
	}
}
