package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	// uploadBytes is the size of one body, well below the limit maxBodyBytes of the configuration.
	uploadBytes = 24 << 20
	// uploaders is the number of clients of a machine that upload in one burst.
	uploaders = 16
	// bursts is the number of bursts, on each of two machines.
	bursts = 3
	// killsOfFault is how often the processes of a machine must end, and faultMachines on how many
	// machines, for the rule to be broken.
	killsOfFault, faultMachines = 3, 2
)

// playBodies has the clients of two machines upload bodies in chunks, within the limits of the
// configuration: all at once, or one after the other without the disruption. As the platform does, it kills
// a process over its memory limit and starts it again.
func playBodies(p *playing) (verdict, error) {
	f := p.fleet
	for i, service := range []string{"huvo11a", "huvo11a", "kafi81c", "kafi81c"} {
		if _, err := f.addMachine([]string{"mvd-centro", "mvd-cerro"}[i%2], service, 290*time.Millisecond); err != nil {
			return cannotRun, err
		}
	}
	f.store.Put(store.KeyConfiguration, configuration(5, "kafi81c", "", [2]int{90, 10}))
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

// upload has the clients of the machines upload at once, or one after the other.
func (p *playing) upload(machines []*machine) {
	var all sync.WaitGroup
	for _, m := range machines {
		if p.trouble {
			for range uploaders {
				all.Go(func() { p.uploadOne(m) })
			}
			continue
		}
		all.Go(func() {
			for range uploaders {
				p.uploadOne(m)
			}
		})
	}
	all.Wait()
}

func (p *playing) uploadOne(m *machine) {
	p.fleet.send(m, request{method: http.MethodPost, host: host, path: "/book/scan", bytes: uploadBytes, chunked: true, deadline: 5 * time.Second})
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
