package main

import (
	"net/http"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

// playStops stops a node in the planned way while bookings are in progress. With the disruption the stop
// is asked for twice: in turn with the other machines, and as the machine is removed.
func playStops(p *playing) (verdict, error) {
	f := p.fleet
	for i, service := range []string{"huvo11a", "kafi81c", "kafi81c"} {
		if _, err := f.addMachine([]string{"mvd-centro", "mvd-cerro"}[i%2], service, 1200*time.Millisecond); err != nil {
			return cannotRun, err
		}
	}
	f.store.Put(store.KeyConfiguration, configuration(5, "kafi81c", "", [2]int{90, 10}))
	if err := f.startNodes(); err != nil {
		return cannotRun, err
	}
	time.Sleep(contact)
	stopped := f.machines[0]
	const bookings = 12
	results := make(chan answer, bookings)
	for range bookings {
		go func() {
			results <- f.send(stopped, request{method: http.MethodPost, host: host, path: "/book/1", bytes: 300, deadline: 5 * time.Second})
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopped.node.signal(syscall.SIGTERM)
	p.record.printf("platform sends SIGTERM to the node of %s", stopped.name)
	if p.trouble {
		time.Sleep(300 * time.Millisecond)
		stopped.node.signal(syscall.SIGTERM)
		p.record.printf("platform sends SIGTERM to the node of %s again", stopped.name)
	}
	cut := 0
	for range bookings {
		if got := <-results; got.err != nil {
			cut++
		}
	}
	p.record.printf("%d of %d bookings in progress got no complete answer", cut, bookings)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
