package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	// uploadBytes is the size of one body, a quarter of the limit maxBodyBytes of the configuration.
	uploadBytes = 16 << 20
	// uploaders is the number of clients of a machine that upload in one burst, and bookers the number of
	// those that send a short booking meanwhile.
	uploaders, bookers = 16, 6
	// lanes is how many clients of a machine upload at the same time without the disruption.
	lanes = 4
	// bursts is the number of bursts, on each of two machines.
	bursts = 4
	// killsOfFault is how often the processes of a machine must end, and faultMachines on how many
	// machines, for the rule to be broken.
	killsOfFault, faultMachines = 3, 2
)

// playBodies has the clients of two machines upload bodies in chunks, within the limits of the
// configuration: all at once, or in turn without the disruption. As the platform does, it kills
// a process over its memory limit and starts it again.
func playBodies(p *playing) (verdict, error) {
	f := p.fleet
	for i, service := range []string{serviceOfClients, serviceOfClients, serviceOfBookings, serviceOfBookings} {
		if _, err := f.addMachine([]string{"mvd-centro", "mvd-cerro"}[i%2], service, 290*time.Millisecond); err != nil {
			return cannotRun, err
		}
	}
	bookings := first
	bookings.book = serviceOfBookings
	f.store.Put(store.KeyConfiguration, bookings.encode())
	if err := f.startNodes(); err != nil {
		return cannotRun, err
	}
	time.Sleep(contact)
	guard := newMemoryGuard(f)
	defer guard.stop()
	for range bursts {
		p.upload(f.machines[:faultMachines])
		for _, m := range f.machines {
			if err := m.awaitReady(readinessTimeout); err != nil {
				return cannotRun, err
			}
		}
		time.Sleep(time.Second)
	}
	p.record.printf("%d bookings that had run or were running got no complete answer", p.lostBookings())
	struck := 0
	for _, m := range f.machines {
		kills, most := guard.of(m)
		p.record.printf("%s: %d processes ended over the memory limit of %d MB, the most was %d MB", m.name, kills, memoryMb, most)
		if kills >= killsOfFault {
			struck++
		}
	}
	if struck >= faultMachines {
		return broken, nil
	}
	return held, nil
}

// calmPause is how long a client waits between two uploads without the disruption, and by how much the
// first ones are apart.
const calmPause = 300 * time.Millisecond

// upload has the clients of the machines upload all at once, or in turn.
func (p *playing) upload(machines []*machine) {
	var all sync.WaitGroup
	for _, m := range machines {
		for number := range bookers {
			all.Go(func() { p.book(m, time.Duration(number)*bookingInterval) })
		}
		if p.trouble {
			for range uploaders {
				all.Go(func() { p.uploadOne(m) })
			}
			continue
		}
		var left atomic.Int64
		left.Store(uploaders)
		for lane := range lanes {
			all.Go(func() {
				time.Sleep(time.Duration(lane) * calmPause)
				for left.Add(-1) >= 0 {
					p.uploadOne(m)
					time.Sleep(calmPause)
				}
			})
		}
	}
	all.Wait()
}

func (p *playing) uploadOne(m *machine) {
	p.fleet.send(m, request{method: http.MethodPost, host: host, path: "/book/scan", bytes: uploadBytes, chunked: true, deadline: 5 * time.Second})
}

// bookingInterval is the time between two short bookings while the bodies of a burst arrive.
const bookingInterval = 60 * time.Millisecond

// book sends a short booking after a delay.
func (p *playing) book(m *machine, delay time.Duration) {
	time.Sleep(delay)
	sent := request{id: newID(), method: http.MethodPost, host: host, path: "/book/trip", bytes: 300, deadline: 5 * time.Second}
	got := p.fleet.send(m, sent)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if got.err != nil {
		p.unanswered = append(p.unanswered, sent.id)
	}
}

// lostBookings returns how many bookings an instance began to run whose clients got no complete answer.
func (p *playing) lostBookings() (lost int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, id := range p.unanswered {
		if len(p.fleet.runsOf(id)) > 0 {
			lost++
		}
	}
	return lost
}

// memoryGuard kills the processes that exceed their memory limit and starts them again, as the platform
// does.
type memoryGuard struct {
	fleet *fleet
	ended chan struct{}
	all   sync.WaitGroup

	mutex sync.Mutex
	kills map[*machine]int
	most  map[*machine]int
}

const guardInterval = 10 * time.Millisecond

func newMemoryGuard(f *fleet) *memoryGuard {
	created := &memoryGuard{fleet: f, ended: make(chan struct{}), kills: make(map[*machine]int), most: make(map[*machine]int)}
	for _, m := range f.machines {
		created.all.Go(func() { created.watch(m) })
	}
	return created
}

func (g *memoryGuard) stop() {
	close(g.ended)
	g.all.Wait()
}

func (g *memoryGuard) of(m *machine) (kills, most int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.kills[m], g.most[m]
}

func (g *memoryGuard) watch(m *machine) {
	for {
		select {
		case <-g.ended:
			return
		case <-time.After(guardInterval):
		}
		used := m.node.residentMb()
		g.mutex.Lock()
		g.most[m] = max(g.most[m], used)
		g.mutex.Unlock()
		if used <= memoryMb && m.node.isRunning() {
			continue
		}
		g.fleet.record.printf("platform kills the node of %s: it uses %d MB of %d MB", m.name, used, memoryMb)
		m.node.kill()
		g.mutex.Lock()
		g.kills[m]++
		g.mutex.Unlock()
		time.Sleep(restartDelay)
		if err := g.fleet.startNode(m, false); err != nil {
			g.fleet.record.printf("the node of %s does not start: %s", m.name, fmt.Sprint(err))
			return
		}
	}
}
