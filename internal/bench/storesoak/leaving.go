package storesoak

import (
	"context"
	"math/rand/v2"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

// keyEvacuations is the prefix of the keys that evacuate zones.
const keyEvacuations = "op/evacuate/"

// leaveSilently ends the entry of an instance that serves on, and has another one take its
// place.
func leaveSilently(random *rand.Rand, f *fleet) fault {
	m := oneOf(random, f)
	return fault{
		name: "an instance leaves without a word", machines: []int{m.number}, planned: true,
		begin: func(context.Context) error {
			name := m.current().Name
			f.store.Delete(store.KeyInstances + name)
			f.endings.note("was gone from the store", name, m.zone)
			return nil
		},
		undo: func(context.Context) error { return f.replaceInstance(m) },
	}
}

// evacuateZone empties a zone and takes that back.
func evacuateZone(random *rand.Rand, f *fleet) fault {
	zone := oneOf(random, f).zone
	var numbers []int
	for _, m := range f.machines {
		if m.zone == zone {
			numbers = append(numbers, m.number)
		}
	}
	var noted *ending
	return fault{
		name: "evacuate " + zone, machines: numbers, planned: true,
		begin: func(context.Context) error {
			f.store.Put(keyEvacuations+zone, []byte("{}"))
			noted = f.endings.note("was to be evacuated", "", zone)
			return nil
		},
		undo: func(context.Context) error {
			f.store.Delete(keyEvacuations + zone)
			f.endings.takeBack(noted)
			return nil
		},
	}
}
