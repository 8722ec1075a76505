package deployment_test

import (
	"net"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/bench/load"
	"github.com/winchhead/winchhead/internal/policy"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// allReady reports many ready instances of every service.
type allReady struct{}

func (allReady) ReadyInstances(string, string) int { return 100 }

// TestExamples checks the sizes of the example deployments, and that each kind of call
// in their workloads has a route that agrees with it on whether it may be repeated.
func TestExamples(t *testing.T) {
	for _, row := range []struct {
		name      string
		zones     int
		instances map[string]int
	}{
		{"montevideo", 4, map[string]int{"seguimiento": 4, "reservas": 4, "pacientes": 4}},
		{"kerlann", 3, map[string]int{"thermo-view": 4, "setpoint-svc": 3, "plant-data": 3}},
	} {
		t.Run(row.name, func(t *testing.T) {
			directory := filepath.Join("..", "..", "..", "examples", row.name)
			plan, err := deployment.Load(directory)
			qt.Assert(t, err, qt.IsNil)
			instances, zones := map[string]int{}, map[string]bool{}
			for _, node := range plan.Nodes {
				zones[node.Node.Zone] = true
				if !node.Edge() {
					instances[node.Inbound.Service]++
				}
			}
			qt.Assert(t, instances, qt.DeepEquals, row.instances)
			qt.Assert(t, zones, qt.HasLen, row.zones)

			document, err := snapshot.NewDocument(plan.Content)
			qt.Assert(t, err, qt.IsNil)
			compiled, err := policy.Compile(document, allReady{})
			qt.Assert(t, err, qt.IsNil)
			workload, err := load.LoadWorkload(filepath.Join(directory, "workload.yaml"))
			qt.Assert(t, err, qt.IsNil)
			for _, kind := range workload.Calls {
				route := compiled.Lookup(kind.Method, kind.Host, kind.Path, nil)
				qt.Assert(t, route, qt.IsNotNil, qt.Commentf("%+v", kind))
				qt.Assert(t, route.MayRepeat(kind.Method), qt.Equals, kind.MayRepeat, qt.Commentf("%+v", kind))
			}
		})
	}
}

// TestOnReplacesEveryAddress checks that no node keeps an IP from its settings file.
func TestOnReplacesEveryAddress(t *testing.T) {
	plan, err := deployment.Load(filepath.Join("..", "..", "..", "examples", "kerlann"))
	qt.Assert(t, err, qt.IsNil)
	moved, err := plan.WithHost("127.9.9.9")
	qt.Assert(t, err, qt.IsNil)
	for i, node := range moved.Nodes {
		for _, address := range []string{node.Peers.Listen, node.Outbound.Listen, node.Inbound.Listen, node.Inbound.Backend, node.Admin.Listen, node.Member().PeerAddress, node.Platform.URL[len("http://"):]} {
			if address == "" {
				continue
			}
			host, _, err := net.SplitHostPort(address)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, host, qt.Equals, "127.9.9.9")
		}
		qt.Assert(t, node.Node, qt.Equals, plan.Nodes[i].Node)
	}
}

// TestChainAddressesAreUnique checks that no two nodes of a generated deployment share
// an address.
func TestChainAddressesAreUnique(t *testing.T) {
	const services, instances, edges = 11, 3, 2
	plan, err := deployment.Chain(services, instances)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, plan.Nodes, qt.HasLen, services*instances+edges)
	qt.Assert(t, plan.Content.Services, qt.HasLen, services)
	seen := map[string]string{}
	for _, node := range plan.Nodes {
		for _, address := range []string{node.Peers.Listen, node.Outbound.Listen, node.Admin.Listen, node.Inbound.Listen, node.Inbound.Backend} {
			if address == "" {
				continue
			}
			qt.Assert(t, seen[address], qt.Equals, "", qt.Commentf("%s of %s", address, node.Node.Name))
			seen[address] = node.Node.Name
		}
	}
}
