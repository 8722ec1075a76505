// Package fleet runs many nodes of the distribution code in one process, over
// loopback TCP with the delays and cuts of a fleet in several regions, against
// the emulated platform, and measures how changes reach them. It proxies no
// requests.
package fleet

import "fmt"

// Location is where a node is.
type Location struct {
	Region string
	Zone   string
}

// regionZones gives the zones of each region: 3 regions, 8 zones.
var regionZones = [...][]string{
	{"a1", "a2", "a3"},
	{"b1", "b2", "b3"},
	{"c1", "c2"},
}

var regionNames = [...]string{"a", "b", "c"}

// serviceCount is how many services the simulated fleet runs.
const serviceCount = 30

// locations lists every zone with its region.
func locations() []Location {
	var all []Location
	for region, zones := range regionZones {
		for _, zone := range zones {
			all = append(all, Location{Region: regionNames[region], Zone: zone})
		}
	}
	return all
}

// locationOf spreads nodes evenly over the zones.
func locationOf(index int) Location {
	all := locations()
	return all[index%len(all)]
}

// serviceOf spreads the nodes of each zone over the services.
func serviceOf(index int) string {
	return serviceName(index / len(locations()) % serviceCount)
}

func serviceName(number int) string { return fmt.Sprintf("service-%02d", number) }

func nodeName(index int) string { return fmt.Sprintf("node-%04d", index) }

// peerPort is the port of every simulated node. Each has a loopback address of
// its own, so that a restarted node finds its address free.
const peerPort = 7000

// peerAddress returns the address of a node, in 127.(1+block).x.y. Fleets that
// run at the same time take different blocks.
func peerAddress(block, index int) string {
	const perByte = 250
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+block, index/perByte, 1+index%perByte, peerPort)
}

// blockAddress is an address of the block that no node has; listening on it
// takes the block.
func blockAddress(block int) string {
	return fmt.Sprintf("127.%d.255.254:%d", 1+block, peerPort)
}

// dataAddress stands for the inbound proxy of a node, which is not simulated.
func dataAddress(peer string) string {
	return fmt.Sprintf("%s%d", peer[:len(peer)-len(fmt.Sprint(peerPort))], peerPort+1)
}

// platformNode is the number of the platform among the ends of connections.
const platformNode = -1

// platformEnd is where the platform is: in the first region, in no node's zone.
func platformEnd() endpoint {
	return endpoint{node: platformNode, Location: Location{Region: regionNames[0]}}
}
