package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	departureMachines = 8
	departing         = 2
	// serveOn is how long the instances that leave serve on after the store has removed their entries:
	// drainMs and a little longer.
	serveOn = drainTime + 150*time.Millisecond
	// workTime is how long an instance works on a request.
	workTime = 120 * time.Millisecond
	// departureInterval is the time between two requests of the clients of one machine.
	departureInterval = 16 * time.Millisecond
	// killedFor is how long machines are without power.
	killedFor = 2 * time.Second
)

// playDepartures removes instances that never say that they drain, while the nodes that read the store are
// killed, and checks that no request reaches those instances later than drainMs after the store removed their entries.
func playDepartures(directory, recordPath string, trouble bool) (broken bool, err error) {
	log := newRecord()
	f, err := newFleet(directory, departureMachines, log)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.PutJSON(store.KeyConfiguration, store.Configuration{
		Version: 17, Services: []store.Service{{Name: callerService, HealthPath: instance.HealthPath}},
		Limits: store.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 20000},
		VirtualHosts: []store.VirtualHost{{Host: host, Paths: []store.Route{{
			Name: "order", PathPrefix: "/order/", Kind: store.KindUnsafe, TimeoutMs: 1500, TargetLatencyMs: 400, Priority: 1, Service: callerService, MaxAttempts: 2,
		}}}},
	})
	for _, m := range f.machines {
		if err := m.startInstance(&instance.Instance{Work: func(_ string, gone <-chan struct{}) {
			select {
			case <-gone:
			case <-time.After(workTime):
			}
		}}); err != nil {
			return false, err
		}
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.heartbeats(ctx, func(*machine) bool { return true })
	if err := f.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	orders := &load{method: "POST", path: "/order/", deadlineMillis: 2000, requests: make(map[string]*sent)}
	time.Sleep(3 * time.Second)
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, m := range f.machines {
		go orders.run(loadContext, m, departureInterval)
	}
	time.Sleep(6 * time.Second)

	readers, others := f.splitReaders(time.Now().Add(-1500 * time.Millisecond))
	if len(readers) == 0 || len(readers) > departureMachines/2 || len(others) < departing {
		return false, fmt.Errorf("%d nodes read the store, want 1 to %d", len(readers), departureMachines/2)
	}
	leaving := others[:departing]
	if trouble {
		for _, m := range readers {
			m.signal(syscall.SIGSTOP) // a machine without power says nothing
			log.note(time.Now(), "machine %d (%s) loses power", m.number, m.zone)
		}
	}
	removedAt := make(map[*machine]time.Time)
	for _, m := range leaving {
		removedAt[m] = m.removeEntry()
		log.note(removedAt[m], "the store has removed the entry of %s (machine %d, %s), which serves on", m.instance.Name, m.number, m.zone)
	}
	restarted := make(chan error, 1)
	go func() { restarted <- restartAfter(killedFor, readers, log, trouble) }()
	time.Sleep(time.Until(removedAt[leaving[0]].Add(serveOn)))
	for _, m := range leaving {
		log.note(time.Now(), "%s ends", m.instance.Name)
		m.instance.Close()
	}
	if err := <-restarted; err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stopLoad()
	time.Sleep(100 * time.Millisecond)
	orders.sending.Wait()

	killed := make(map[*machine]bool)
	if trouble {
		for _, m := range readers {
			killed[m] = true
		}
	}
	late, lost := 0, 0
	var last time.Duration
	for _, m := range leaving {
		for _, run := range m.instance.Runs() {
			request := orders.requests[run.ID]
			after := run.Began.Sub(removedAt[m])
			if request == nil || killed[request.machine] || after <= drainTime {
				continue
			}
			late++
			last = max(last, after)
			if request.status != 200 {
				lost++
			}
			log.note(run.Began, "LATE: request %s, sent by a client of machine %d at %.3f s, began at %s %.3f s after the store removed its entry; answer %d",
				run.ID, request.machine.number, request.at.Sub(log.began).Seconds(), m.instance.Name, after.Seconds(), request.status)
		}
	}
	statuses := make(map[int]int)
	for _, request := range orders.requests {
		statuses[request.status]++
		if request.status != 200 {
			log.note(request.at, "request %s from machine %d: status %d %v", request.id, request.machine.number, request.status, request.err)
		}
	}
	summary := []string{
		fmt.Sprintf("trouble: %t; machines: %d; nodes killed: %d; instances that left: %d", trouble, len(f.machines), len(killed), len(leaving)),
		fmt.Sprintf("requests sent: %d; answers by status (0: none): %v", len(orders.requests), statuses),
		fmt.Sprintf("requests that reached an instance later than %s after the store removed its entry, from machines in touch: %d; the last one after %.3f s", drainTime, late, last.Seconds()),
		fmt.Sprintf("of these, requests that may run once, had begun to run, and were lost as the instance ended: %d", lost),
	}
	for _, line := range summary {
		fmt.Println(line)
	}
	return late > 0, log.write(recordPath, summary)
}

// restartAfter starts the nodes of machines that lost power: nothing is left of the earlier processes.
func restartAfter(wait time.Duration, machines []*machine, log *record, killed bool) error {
	if !killed {
		return nil
	}
	time.Sleep(wait)
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
		log.note(time.Now(), "node of machine %d starts again", m.number)
	}
	return nil
}

// splitReaders returns the machines that have watched the store since a time, and the others.
func (f *fleet) splitReaders(since time.Time) (readers, others []*machine) {
	for _, m := range f.machines {
		if m.readSince(since) {
			readers = append(readers, m)
			continue
		}
		others = append(others, m)
	}
	return readers, others
}
