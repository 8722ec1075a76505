package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	// stopMachines are stopped one each second, so that each is stopped every ten seconds.
	stopMachines = 10
	stopRounds   = 9
	stopGap      = time.Second
	// graceTime is gracePeriodS.
	graceTime = 6 * time.Second
	// idleTimeout is idleTimeoutMs. Clients close their connections after four fifths of it.
	idleTimeout = 5 * time.Second
	clientRest  = idleTimeout * 4 / 5
	// keptConnections is how many connections the clients of a machine keep after a crowd of users.
	keptConnections = 400
	// crowdBefore is how long before the SIGTERM the crowd comes, and crowdSpread how much earlier or later.
	crowdBefore = 1200 * time.Millisecond
	crowdSpread = 60 * time.Millisecond
)

// playStops stops nodes one after the other while their clients keep idle connections, which they close after the
// time that the pages name, and counts the nodes that have not ended when the grace period is over. Without the
// trouble, the clients close them before the stop.
func playStops(directory, recordPath string, trouble bool) (broken bool, err error) {
	log := newRecord()
	f, err := newFleet(directory, stopMachines, log)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.PutJSON(store.KeyConfiguration, store.Configuration{
		Version: 17, Services: []store.Service{{Name: callerService, HealthPath: instance.HealthPath}},
		Limits: store.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: int(idleTimeout.Milliseconds())},
		VirtualHosts: []store.VirtualHost{{Host: host, Paths: []store.Route{{
			Name: "status", PathPrefix: "/status/", Kind: store.KindSafe, TimeoutMs: 2000, TargetLatencyMs: 400, Priority: 1, Service: callerService, MaxAttempts: 2,
		}}}},
	})
	for _, m := range f.machines {
		if err := m.startInstance(&instance.Instance{}); err != nil {
			return false, err
		}
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
	var stopping sync.WaitGroup
	played := stops{log: log, trouble: trouble}
	for i, m := range f.machines {
		stopping.Go(func() {
			time.Sleep(time.Duration(i) * stopGap)
			played.play(m)
		})
	}
	stopping.Wait()
	if played.err != nil {
		return false, played.err
	}
	summary := []string{
		fmt.Sprintf("trouble: %t; machines: %d; kept connections: %d on each", trouble, stopMachines, keptConnections),
		fmt.Sprintf("planned stops: %d; nodes that had not ended %s after SIGTERM and were killed: %d", played.count, graceTime, played.hung),
		fmt.Sprintf("longest time from SIGTERM to the end of the others: %.3f s", played.longest.Seconds()),
	}
	for _, line := range summary {
		fmt.Println(line)
	}
	return played.hung > 0, log.write(recordPath, summary)
}

// stops counts the planned stops.
type stops struct {
	log     *record
	trouble bool

	mutex       sync.Mutex
	count, hung int
	longest     time.Duration
	err         error
}

// play stops one machine's node again and again.
func (s *stops) play(m *machine) {
	for range stopRounds {
		began := time.Now()
		var closed sync.WaitGroup
		rest := clientRest
		if !s.trouble {
			rest = crowdBefore / 2
		}
		for range keptConnections {
			closed.Go(func() { keepConnection(m, rest) })
		}
		spread := time.Duration((rand.Float64()*2 - 1) * float64(crowdSpread))
		time.Sleep(crowdBefore + spread)
		at := time.Now()
		m.signal(syscall.SIGTERM)
		hung := false
		select {
		case <-m.ended:
		case <-time.After(graceTime):
			hung = true
			m.signal(syscall.SIGQUIT) // its stacks go to its log
			time.Sleep(200 * time.Millisecond)
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
		s.ended(m, at, hung)
		closed.Wait()
		if err := m.start(); err != nil {
			s.fail(err)
			return
		}
		time.Sleep(time.Until(began.Add(stopMachines * stopGap)))
	}
}

func (s *stops) ended(m *machine, at time.Time, hung bool) {
	took := time.Since(at)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count++
	if hung {
		s.hung++
		s.log.note(at, "HUNG: SIGTERM to the node of machine %d; it had not ended after %s and was killed", m.number, graceTime)
		return
	}
	s.longest = max(s.longest, took)
	s.log.note(at, "SIGTERM to the node of machine %d; it ended after %.3f s", m.number, took.Seconds())
}

func (s *stops) fail(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.err = err
}

var connectionNumbers struct {
	sync.Mutex
	last int
}

// keepConnection sends one request on a new connection, and closes the connection when it has rested for a time.
func keepConnection(m *machine, rest time.Duration) {
	connectionNumbers.Lock()
	connectionNumbers.last++
	id := fmt.Sprintf("k%08d", connectionNumbers.last)
	connectionNumbers.Unlock()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, m.fleet.ports["outbound"]), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /status/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n\r\n", id, host, instance.HeaderID, id, instance.HeaderDeadline)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if !response.Close {
		time.Sleep(rest)
	}
}
