package inbound

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// fleetOf is a snapshot with so many instances of each service.
func fleetOf(c *qt.C, counts map[string]int) *snapshot.Snapshot {
	version := snapshot.Version{Revision: 1, Hash: snapshot.ContentHash{1}}
	var services []snapshot.Service
	var instances []snapshot.Instance
	for service, count := range counts {
		services = append(services, snapshot.Service{Name: service})
		for i := range count {
			instances = append(instances, snapshot.Instance{Name: fmt.Sprintf("%s-%d", service, i), Service: service, Address: fmt.Sprintf("%s-%d", service, i), State: snapshot.InstanceReady})
		}
	}
	built, err := snapshot.New(version, nil, services, nil)
	c.Assert(err, qt.IsNil)
	return built.WithFleet(version, snapshot.Content{Instances: instances})
}

// TestRoutesOfCallersAndOfInstances: a route whose requests start beside all services is
// one of callers, whatever the number of nodes; one that a service leaves out is not.
func TestRoutesOfCallersAndOfInstances(t *testing.T) {
	for name, row := range map[string]struct {
		nodes map[string]int
		// sent are the requests that start beside each service, for each node.
		sent map[string]int
		want bool
	}{
		"callers beside all":          {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 10, "b": 9, "c": 12}, true},
		"callers, far nodes less":     {map[string]int{"a": 2, "b": 2, "c": 1}, map[string]int{"a": 40, "b": 30, "c": 9}, true},
		"calls of one service":        {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 40}, false},
		"calls of two services":       {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 40, "b": 20}, false},
		"calls, and a few by mistake": {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 40, "b": 1, "c": 1}, false},
		"too few to tell":             {map[string]int{"a": 1, "b": 1}, map[string]int{"a": 20, "b": 20}, false},
		"a service without nodes":     {map[string]int{"a": 2, "b": 2, "none": 0}, map[string]int{"a": 40, "b": 40}, true},
		"one service":                 {map[string]int{"a": 4}, map[string]int{"a": 20}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			current := fleetOf(c, row.nodes)
			var learned origins
			shared := false
			for round := range 50 {
				for service, each := range row.sent {
					if round >= each {
						continue
					}
					for range row.nodes[service] {
						shared = learned.note("route", service, current)
					}
				}
			}
			c.Check(shared, qt.Equals, row.want)
		})
	}
}
