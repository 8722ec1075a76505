package storesoak

import (
	"fmt"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// The services of the fleet. Callers send through the nodes of serviceFront; the other
// services handle the calls.
const (
	serviceFront = "front"
	serviceRead  = "records"
	serviceWrite = "bookings"
)

// placedServices are the services that the machines of a zone are assigned in turn.
var placedServices = []string{serviceFront, serviceRead, serviceWrite, serviceRead, serviceFront, serviceWrite}

// Bounds of the number of machines.
const (
	// MinMachines gives each service two instances, in two zones.
	MinMachines = 8
	// MaxMachines limits the processes of one run to what one computer can handle.
	MaxMachines = 150
)

// place is the zone and the service of a machine.
type place struct{ zone, service string }

// placements assigns machines to zones and services.
func placements(machines, zones int) ([]place, error) {
	if machines < MinMachines || machines > MaxMachines {
		return nil, eris.Errorf("a fleet needs %d to %d machines, got %d", MinMachines, MaxMachines, machines)
	}
	if zones < 1 || zones > machines/len(placedServices)+1 {
		return nil, eris.Errorf("%d machines cannot be spread over %d zones", machines, zones)
	}
	places := make([]place, machines)
	for number := range places {
		// Zones start at different services, so that small zones do not all have the same ones.
		zone, inZone := number%zones, number/zones
		service := placedServices[(inZone+zone*len(placedServices)/2)%len(placedServices)]
		places[number] = place{zone: fmt.Sprint("zone-", zone), service: service}
	}
	return places, nil
}

// hosts holds the loopback address prefixes of one fleet.
type hosts struct{ listen, proxied string }

// startedFleets counts the fleets of this process.
var startedFleets atomic.Uint32

// newHosts returns address prefixes derived from the process id and the number of the fleet,
// so that fleets on the same computer do not share addresses.
func newHosts() hosts {
	const octets, fleets = 250, 125
	first := os.Getpid() % octets
	second := 2 * (startedFleets.Add(1) % fleets)
	return hosts{listen: fmt.Sprintf("127.%d.%d", 1+first, 1+second), proxied: fmt.Sprintf("127.%d.%d", 1+first, 2+second)}
}

// of returns the address at which a machine's node listens, and the one at which others reach
// it through the link proxies.
func (h hosts) of(number int) (listen, proxied string) {
	return fmt.Sprintf("%s.%d", h.listen, 1+number), fmt.Sprintf("%s.%d", h.proxied, 1+number)
}
