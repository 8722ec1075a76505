package deployment

import (
	"fmt"
	"strconv"

	"github.com/winchhead/winchhead/internal/settings"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// Parameters of a chain deployment.
const (
	chainRegion      = "chain"
	chainZones       = 2
	chainEdges       = 2
	chainSlots       = 20
	chainConnections = 130
	// chainHost is replaced by Deployment.On. chainFirstPort is the platform's port;
	// each node gets the next portsPerNode ports.
	chainHost      = "127.0.0.1"
	chainFirstPort = 23000
	portsPerNode   = 10
)

// Chain returns a generated deployment without files, for calls that pass through a
// chain of services. Each service has the given number of instances, spread over two
// zones, and there are two edges. It has no policy.
func Chain(services, instances int) (*Deployment, error) {
	plan := &Deployment{Name: fmt.Sprintf("chain of %d", services)}
	for edge := range chainEdges {
		if err := plan.addChainNode(fmt.Sprintf("edge-%d", edge+1), "", edge); err != nil {
			return nil, err
		}
	}
	for number := range services {
		service := fmt.Sprintf("service-%d", number+1)
		plan.Content.Services = append(plan.Content.Services, snapshot.Service{Name: service, Slots: chainSlots, Connections: chainConnections})
		for instance := range instances {
			if err := plan.addChainNode(fmt.Sprintf("%s-%d", service, instance+1), service, instance); err != nil {
				return nil, err
			}
		}
	}
	return plan, nil
}

// addChainNode adds a node without a settings file, configured by overrides only.
func (d *Deployment) addChainNode(name, service string, zone int) error {
	port := chainFirstPort + (len(d.Nodes)+1)*portsPerNode
	address := func(offset int) string { return fmt.Sprintf("%s:%d", chainHost, port+offset) }
	overrides := settings.Overrides{
		"node.name": name, "node.region": chainRegion, "node.zone": fmt.Sprintf("zone-%d", zone%chainZones+1),
		"platform.url":    fmt.Sprintf("http://%s:%d", chainHost, chainFirstPort),
		"peers.listen":    address(1),
		"admin.listen":    address(4),
		"outbound.listen": address(2),
	}
	if service != "" {
		overrides["inbound.listen"] = address(3)
		overrides["inbound.backend"] = address(9)
		overrides["inbound.service"] = service
		overrides["inbound.slots"] = strconv.Itoa(chainSlots)
		overrides["inbound.connections"] = strconv.Itoa(chainConnections)
		overrides["inbound.health_path"] = "/health"
	}
	node, err := Node{}.With(overrides)
	if err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, node)
	return nil
}
