package inbound

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
)

// fleetOf returns a snapshot with the given number of instances of each service.
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

// TestSharedRoutes checks that a route whose requests start at the nodes of all services is
// classified as shared, whatever the number of nodes, and that a route is not if a service
// sends no requests or hardly any.
func TestSharedRoutes(t *testing.T) {
	for name, row := range map[string]struct {
		nodes map[string]int
		// sent is the number of requests that start at each node of a service.
		sent map[string]int
		want bool
	}{
		"callers at all services":     {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 10, "b": 9, "c": 12}, true},
		"callers, uneven rates":       {map[string]int{"a": 2, "b": 2, "c": 1}, map[string]int{"a": 40, "b": 30, "c": 9}, true},
		"calls of one service":        {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 40}, false},
		"calls of two services":       {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 40, "b": 20}, false},
		"calls, and a few stray ones": {map[string]int{"a": 6, "b": 4, "c": 3}, map[string]int{"a": 40, "b": 1, "c": 1}, false},
		"too few requests":            {map[string]int{"a": 1, "b": 1}, map[string]int{"a": 20, "b": 20}, false},
		"a service without nodes":     {map[string]int{"a": 2, "b": 2, "none": 0}, map[string]int{"a": 40, "b": 40}, true},
		"one service":                 {map[string]int{"a": 4}, map[string]int{"a": 20}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			current := fleetOf(c, row.nodes)
			var tracker originTracker
			shared := false
			for round := range 50 {
				for service, each := range row.sent {
					if round >= each {
						continue
					}
					for range row.nodes[service] {
						shared = tracker.record("route", service, current)
					}
				}
			}
			c.Check(shared, qt.Equals, row.want)
		})
	}
}
