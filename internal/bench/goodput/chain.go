package goodput

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// callPath is the path of the back ends that call onward.
const callPath = backend.PathCall

// chain is the way of one call through the services, which take turns.
type chain struct {
	services []string // of the deployment, in turns
	hosts    []string // one for each back end that a call passes
	capacity float64  // calls per second that the slots allow
}

func newChain(plan *deployment.Deployment, depth int, work time.Duration) chain {
	slots := map[string]int{}
	for _, node := range plan.Nodes {
		if !node.Edge() {
			slots[node.Inbound.Service] += node.Inbound.Slots
		}
	}
	built := chain{}
	for _, service := range plan.Content.Services {
		built.services = append(built.services, service.Name)
	}
	held := map[string]time.Duration{}
	for hop := range depth {
		service := built.services[hop%len(built.services)]
		built.hosts = append(built.hosts, host(service))
		// A back end that calls onward holds its slot until the answer comes.
		held[service] += time.Duration(depth-hop) * work
	}
	built.capacity = math.Inf(1)
	for service, span := range held {
		built.capacity = min(built.capacity, float64(slots[service])/span.Seconds())
	}
	return built
}

func host(service string) string { return service + ".bench" }

// onward returns the calls that follow the first ("host/path").
func (c chain) onward() []string {
	var calls []string
	for _, host := range c.hosts[1:] {
		calls = append(calls, host+callPath)
	}
	return calls
}

// program returns a policy with a route to each service.
func (c chain) program(timeout time.Duration) string {
	var text strings.Builder
	for _, service := range c.services {
		fmt.Fprintf(&text, "route(name=%q, host=%q, path=%q, to=%q, timeout=\"%dms\")\n",
			service, host(service), callPath, service, timeout.Milliseconds())
	}
	return text.String()
}
