package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	host = "jepu9.example"
	// serviceOfClients and serviceOfBookings are the services of the small deployment.
	serviceOfClients, serviceOfBookings = "huvo11a", "kafi81c"
)

// configuration is a configuration of the small deployment.
type configuration struct {
	version int
	// book is the service of the route /book/.
	book string
	// weights are those of both services on the route /split/, attempts its maxAttempts.
	weights  [2]int
	attempts int
	// added are the names of further routes.
	added []string
}

// first is the configuration from the start.
var first = configuration{version: 5, book: serviceOfClients, weights: [2]int{90, 10}, attempts: 2}

// encode returns the value of op/config.
func (c configuration) encode() []byte {
	further := ""
	for _, name := range c.added {
		further += fmt.Sprintf(`,
{"name":"r-%[1]s","pathPrefix":"/%[1]s/","kind":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"service":%[2]q,"maxAttempts":2}`, name, serviceOfBookings)
	}
	return fmt.Appendf(nil, `{"version":%[1]d,"services":[{"name":%[2]q,"healthPath":"/health","maxConnections":130},{"name":%[3]q,"healthPath":"/health","maxConnections":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%[4]d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"virtualHosts":[{"host":%[5]q,"paths":[
{"name":"r-book","pathPrefix":"/book/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":800,"priority":1,"service":%[6]q,"maxAttempts":2},
{"name":"r-split","pathPrefix":"/split/","kind":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"weightedServices":[{"service":%[2]q,"weight":%[7]d},{"service":%[3]q,"weight":%[8]d}],"maxAttempts":%[9]d}%[10]s]}]}`,
		c.version, serviceOfClients, serviceOfBookings, maxBodyBytes, host, c.book, c.weights[0], c.weights[1], c.attempts, further)
}

// playConfiguration changes the configuration twice: each time /book/ moves to the other service and a route
// is added. With the disruption, the first change also lets requests of one route be sent to six instances,
// and the second one gives the weights of one route in parts of 10,000. The rules hold if no machine then
// handles a request as only the older configuration allows, and if the fleet serves after it was killed.
func playConfiguration(p *playing) (verdict, error) {
	f := p.fleet
	for i := range 6 {
		service := []string{serviceOfClients, serviceOfBookings}[i%2]
		if _, err := f.addMachine([]string{"mvd-centro", "mvd-cerro"}[i/2%2], service, 20*time.Millisecond); err != nil {
			return cannotRun, err
		}
	}
	f.store.Put(store.KeyConfiguration, first.encode())
	if err := f.startNodes(); err != nil {
		return cannotRun, err
	}
	time.Sleep(contact)
	second, third := first, first
	second.version, second.book, second.added = 7, serviceOfBookings, []string{"added"}
	third.version, third.added = 9, []string{"added", "later"}
	if p.trouble {
		second.attempts = 6
		third.weights = [2]int{9900, 100}
	}
	wrong := f.change(second, serviceOfClients) + f.change(third, serviceOfBookings)
	p.record.printf("%d requests were handled as only an older configuration allows", wrong)
	served, err := f.serveAfterKill()
	if err != nil {
		return cannotRun, err
	}
	p.record.printf("after all nodes were killed and started again, %d of %d requests were served", served, requestsAfterKill)
	if wrong > 0 || served*4 < requestsAfterKill {
		return broken, nil
	}
	return held, nil
}

// configurationWait is how long after its acknowledgement a configuration must be in force, with a margin.
const configurationWait = configApply + time.Second

// change puts a configuration in the store and returns how many requests were then handled as only an
// older configuration allows, in which /book/ went to the former service.
func (f *fleet) change(next configuration, former string) (wrong int) {
	f.store.Put(store.KeyConfiguration, next.encode())
	f.record.printf("operator's version %d is acknowledged: /book/ moves from %s to %s, the routes added so far are %v, /split/ has the weights %v and at most %d attempts",
		next.version, former, next.book, next.added, next.weights, next.attempts)
	time.Sleep(configurationWait)
	const rounds = 3
	for round := range rounds {
		for _, m := range f.machines {
			wrong += f.checkConfiguration(m, next, former, round)
		}
		time.Sleep(time.Second)
	}
	return wrong
}

// checkConfiguration sends requests on the changed routes and returns how many were handled as only an
// older configuration allows.
func (f *fleet) checkConfiguration(m *machine, next configuration, former string, round int) (wrong int) {
	booking := request{id: newID(), method: http.MethodPost, host: host, path: fmt.Sprintf("/book/%d", round), bytes: 300, deadline: 5 * time.Second}
	f.send(m, booking)
	for _, run := range f.runsOf(booking.id) {
		if run.service == former {
			f.record.printf("WRONG: %s ran at %s, the service of an older configuration", booking.id, run.service)
			wrong++
		}
	}
	newest := next.added[len(next.added)-1]
	added := request{id: newID(), method: http.MethodGet, host: host, path: fmt.Sprintf("/%s/%d", newest, round), deadline: 4 * time.Second}
	if got := f.send(m, added); got.err == nil && got.status == http.StatusNotFound {
		f.record.printf("WRONG: %s got 404 although the route exists", added.id)
		wrong++
	}
	return wrong
}

const (
	// recovery is how long after the nodes are back they must serve again.
	recovery = 15 * time.Second
	// requestsAfterKill is the number of requests sent after that.
	requestsAfterKill = 20
)

// serveAfterKill kills all nodes and starts them again, and returns how many requests are served once the
// time to recover is over.
func (f *fleet) serveAfterKill() (served int, err error) {
	f.record.printf("platform kills all nodes")
	for _, m := range f.machines {
		m.node.kill()
	}
	time.Sleep(restartDelay)
	for _, m := range f.machines {
		if err := f.startNode(m, false); err != nil {
			return 0, err
		}
	}
	time.Sleep(recovery + time.Second)
	for number := range requestsAfterKill {
		m := f.machines[number%len(f.machines)]
		got := f.send(m, request{method: http.MethodGet, host: host, path: fmt.Sprintf("/split/%d", number), deadline: 4 * time.Second})
		if got.err == nil && got.status == http.StatusOK {
			served++
		}
	}
	return served, nil
}
