package dataplane_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/winchhead/winchhead/internal/emulator/instance"
)

// TestCallsOfRunningRequests guards against a node whose two proxies do not share what they know about calls:
// while the instance runs requests of priority 0, calls of a route of priority 1 get theirs.
func TestCallsOfRunningRequests(t *testing.T) {
	c := qt.New(t)
	const parents = 2
	var arrived atomic.Int64
	started, end := make(chan struct{}, parents), make(chan struct{})
	emulated := &instance.Instance{Name: "i-1", Work: func(id string, _ <-chan struct{}) {
		if id == "parent.example" && arrived.Add(1) <= parents {
			started <- struct{}{}
			<-end
		}
	}}
	registry := prometheus.NewRegistry()
	_, callers := startNodeOf(c, emulated, registry, typedRoute("parent", "parent.example", 0), typedRoute("urgent", "urgent.example", 0), typedRoute("call", "call.example", 1))
	release := sync.OnceFunc(func() { close(end) })
	c.Cleanup(release) // before the instance is closed
	for range 60 {     // until the node knows that priority 0 is in use
		c.Assert(get(callers, "urgent.example"), qt.Equals, http.StatusOK)
	}
	statuses := make(chan int, parents)
	for range parents {
		go func() { statuses <- get(callers, "parent.example") }()
		select {
		case <-started:
		case status := <-statuses:
			c.Fatalf("a parent ended with %d before it ran", status)
		}
	}
	for range 40 { // until the parents of the calls count as known
		c.Assert(get(callers, "call.example"), qt.Equals, http.StatusOK)
	}
	release()
	for range parents {
		c.Check(<-statuses, qt.Equals, http.StatusOK)
	}
	c.Check(raisedCalls(c, registry) > 0, qt.IsTrue)
}

// get sends a request for a host to a node and returns the status of the answer; zero: none.
func get(callers, host string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+callers+"/x", nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set(instance.HeaderID, host)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// raisedCalls returns the number of calls with a higher priority than that of their route.
func raisedCalls(c *qt.C, registry *prometheus.Registry) (raised float64) {
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == "winchhead_dataplane_calls_total" && metric.GetLabel()[0].GetValue() == "raised" {
				raised += metric.GetCounter().GetValue()
			}
		}
	}
	return raised
}
