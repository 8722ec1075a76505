package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	readerMachines = 3
	// slowReaders is how many clients of one machine read slowly at the same time, each on its own kept connection. One
	// more sends short requests every ordinaryInterval: a machine of the site has 10 clients.
	slowReaders      = 9
	ordinaryInterval = 50 * time.Millisecond
	// readingPause is for how long a client stops reading, once in each answer.
	readingPause = time.Second
	readFirst    = 64 << 10
	readerRounds = 20
)

// playSlowReaders lets clients pause for a second while they read answers as large as the largest of the site
// files, and counts the kept connections that the node closes before the whole answer.
func playSlowReaders(directory, recordPath string, trouble bool) (broken bool, err error) {
	log := newRecord()
	f, err := newFleet(directory, readerMachines, log)
	if err != nil {
		return false, err
	}
	defer f.close()
	route := func(name, kind string) store.Route {
		return store.Route{Name: name, PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 4000, TargetLatencyMs: 1000, Priority: 1, Service: callerService, MaxAttempts: 2}
	}
	f.store.PutJSON(store.KeyConfiguration, store.Configuration{
		Version: 17, Services: []store.Service{{Name: callerService, HealthPath: instance.HealthPath}},
		Limits:       store.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 20000},
		VirtualHosts: []store.VirtualHost{{Host: host, Paths: []store.Route{route("map-pack", "download"), route("status", store.KindSafe)}}},
	})
	for _, m := range f.machines {
		if err := m.startInstance(&instance.Instance{BodyOf: func(id string) string {
			if !strings.HasPrefix(id, "r") {
				return bodyOfSize(id+"-small", 0)
			}
			return bodyOfSize(id, largestTraffic)
		}}); err != nil {
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
	time.Sleep(3 * time.Second)

	m, played := f.machines[0], readers{log: log, trouble: trouble}
	ordinary := &load{method: http.MethodGet, path: "/status/", deadlineMillis: 4000, requests: make(map[string]*sent)}
	ordinaryContext, stopOrdinary := context.WithCancel(ctx)
	defer stopOrdinary()
	go ordinary.run(ordinaryContext, m, ordinaryInterval)
	for number := range slowReaders {
		played.running.Go(func() { played.play(m, number) })
	}
	played.running.Wait()
	summary := []string{
		fmt.Sprintf("trouble: %t; clients that read slowly: %d; bytes of each answer: %d; memory of the machine: 284 MB", trouble, slowReaders, largestTraffic),
		fmt.Sprintf("answered with the whole body: %d; passed on from a kept connection, which the node closed before the whole answer: %d; other endings: %d",
			played.whole, played.lost, played.others),
	}
	for _, line := range summary {
		fmt.Println(line)
	}
	return played.lost > allowedLosses, log.write(recordPath, summary)
}

// readers are the clients of one machine.
type readers struct {
	log     *record
	trouble bool
	running sync.WaitGroup

	mutex               sync.Mutex
	whole, lost, others int
}

// play sends the requests of one client: a short one, and then a large one on the same connection.
func (r *readers) play(m *machine, number int) {
	// Clients are 1 ms away from the machine, so that they have addresses of their own. A small receive buffer
	// stands for their slower link.
	dialer := &net.Dialer{
		LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 1, byte(network), byte(10+number))},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readFirst)
			})
		},
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for round := range readerRounds {
		id := fmt.Sprintf("r%02d%02d", number, round)
		if _, _, _, err := r.get(client, m, "/status/", id+"-small", false); err != nil {
			r.count(&r.others)
			r.log.note(time.Now(), "%s-small: %v", id, err)
			continue
		}
		at := time.Now()
		status, body, kept, err := r.get(client, m, "/map-pack/", id, r.trouble)
		took := time.Since(at).Seconds()
		switch {
		case err == nil && status == http.StatusOK && body == bodyOfSize(id, largestTraffic):
			r.count(&r.whole)
			r.log.note(at, "%s: whole answer after %.3f s", id, took)
		case err != nil && status == http.StatusOK && kept && time.Since(at) < routeTimeout:
			r.count(&r.lost)
			r.log.note(at, "LOST: %s: the connection ended after %d of %d bytes, %.3f s after the request: %v", id, len(body), largestTraffic, took, err)
		default:
			r.count(&r.others)
			r.log.note(at, "%s: status %d, %d bytes, %v", id, status, len(body), err)
		}
	}
}

func (r *readers) count(counter *int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*counter++
}

func (r *readers) get(client *http.Client, m *machine, path, id string, pauses bool) (status int, body string, kept bool, err error) {
	const deadline = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = notingReuse(ctx, &kept)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.outbound(path+id), nil)
	if err != nil {
		return 0, "", kept, err
	}
	request.Host = host
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, "", kept, err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, readFirst)
	count, err := io.ReadFull(response.Body, first)
	if err != nil {
		if err == io.ErrUnexpectedEOF && int64(count) == response.ContentLength {
			err = nil
		}
		return response.StatusCode, string(first[:count]), kept, err
	}
	if pauses {
		time.Sleep(readingPause)
	}
	rest, err := io.ReadAll(response.Body)
	return response.StatusCode, string(first) + string(rest), kept, err
}
