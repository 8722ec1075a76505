package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

const host = "jepu9.example"

// configuration is a configuration of the small deployment: the service of the route /book/, further
// routes, and the weights of the route /split/.
func configuration(version int, bookService, further string, weights [2]int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":130},{"name":"kafi81c","healthPath":"/health","maxConnections":130}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"virtualHosts":[{"host":%q,"paths":[
{"name":"r-book","pathPrefix":"/book/","kind":"unsafe","timeoutMs":5000,"targetLatencyMs":800,"priority":1,"service":%q,"maxAttempts":2},
{"name":"r-split","pathPrefix":"/split/","kind":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"weightedServices":[{"service":"huvo11a","weight":%d},{"service":"kafi81c","weight":%d}],"maxAttempts":2}%s]}]}`,
		version, maxBodyBytes, host, bookService, weights[0], weights[1], further)
}

const addedRoute = `,
{"name":"r-added","pathPrefix":"/added/","kind":"safe","timeoutMs":4000,"targetLatencyMs":600,"priority":2,"service":"kafi81c","maxAttempts":2}`

// configurationWait is how long after its acknowledgement a configuration must be in force, with a margin.
const configurationWait = configApply + time.Second

// playConfiguration changes the configuration: one route moves to the other service, one is added, and
// the weights of one change. The rule CONFIG holds if no machine then handles a request as only the
// older configuration allows.
func playConfiguration(p *playing) (verdict, error) {
	f := p.fleet
	for i, service := range []string{"huvo11a", "kafi81c", "huvo11a", "kafi81c"} {
		if _, err := f.addMachine([]string{"mvd-centro", "mvd-cerro"}[i%2], service, 20*time.Millisecond); err != nil {
			return cannotRun, err
		}
	}
	f.store.Put(store.KeyConfiguration, configuration(5, "huvo11a", "", [2]int{90, 10}))
	if err := f.startNodes(); err != nil {
		return cannotRun, err
	}
	time.Sleep(contact)
	weights := [2]int{90, 10}
	if p.trouble {
		weights = [2]int{9900, 100}
	}
	f.store.Put(store.KeyConfiguration, configuration(7, "kafi81c", addedRoute, weights))
	p.record.printf("operator's version 7 is acknowledged: /book/ moves from huvo11a to kafi81c, /added/ is new, /split/ is %d to %d", weights[0], weights[1])
	time.Sleep(configurationWait)
	wrong := 0
	for round := range 5 {
		for _, m := range f.machines {
			wrong += f.checkConfiguration(m, round)
		}
		time.Sleep(2 * time.Second)
	}
	p.record.printf("%d requests were handled as only the older configuration allows", wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// checkConfiguration sends requests on the changed routes and returns how many were handled as only the
// older configuration allows.
func (f *fleet) checkConfiguration(m *machine, round int) (wrong int) {
	booking := request{id: newID(), method: http.MethodPost, host: host, path: fmt.Sprintf("/book/%d", round), bytes: 300, deadline: 5 * time.Second}
	f.send(m, booking)
	for _, run := range f.runsOf(booking.id) {
		if run.service == "huvo11a" {
			f.record.printf("WRONG: %s ran at %s, the service of the older configuration", booking.id, run.service)
			wrong++
		}
	}
	added := request{id: newID(), method: http.MethodGet, host: host, path: fmt.Sprintf("/added/%d", round), deadline: 4 * time.Second}
	if got := f.send(m, added); got.err == nil && got.status == http.StatusNotFound {
		f.record.printf("WRONG: %s got 404 although the route exists", added.id)
		wrong++
	}
	return wrong
}
