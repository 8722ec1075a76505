package goodput

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/bench/deployment"
	"github.com/winchhead/winchhead/internal/emulator/backend"
)

// callPath is the path at which the backends make onward calls.
const callPath = backend.PathCall

// chain describes one call that passes through the services in turn.
type chain struct {
	services []string // services of the deployment, called in turn
	hosts    []string // host of each backend that a call passes
	capacity float64  // calls per second that the slots of the backends allow
}

func newChain(plan *deployment.Deployment, depth int, work time.Duration) chain {
	slots := map[string]int{}
	for _, node := range plan.Nodes {
		if !node.Edge() {
			slots[node.Inbound.Service] += node.Inbound.Slots
		}
	}
	result := chain{}
	for _, service := range plan.Content.Services {
		result.services = append(result.services, service.Name)
	}
	slotTime := map[string]time.Duration{}
	for hop := range depth {
		service := result.services[hop%len(result.services)]
		result.hosts = append(result.hosts, serviceHost(service))
		// A backend occupies a slot until its onward call is answered.
		slotTime[service] += time.Duration(depth-hop) * work
	}
	result.capacity = math.Inf(1)
	for service, perCall := range slotTime {
		result.capacity = min(result.capacity, float64(slots[service])/perCall.Seconds())
	}
	return result
}

func serviceHost(service string) string { return service + ".bench" }

// onward returns the calls after the first ("host/path").
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
			service, serviceHost(service), callPath, service, timeout.Milliseconds())
	}
	return text.String()
}
