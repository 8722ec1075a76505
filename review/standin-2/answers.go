package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/emulator/store"
)

const (
	// largestTraffic is the largest answer in the traffic of the site files, largerAnswer a larger one.
	largestTraffic = 540_000
	largerAnswer   = 1_500_000
	answerMachines = 3
	// answerRounds is how many large answers each machine's client asks for, of each kind of route.
	answerRounds = 10
	// routeTimeout is the timeoutMs of the routes and the deadline of the clients: what ends later is excused.
	routeTimeout = 4 * time.Second
	// allowedLosses is how many requests of kept connections may be lost by the rule.
	allowedLosses = 3
)

// playAnswers asks for large answers over kept connections, without any other disruption, and counts the
// connections that end before the whole answer.
func playAnswers(directory, recordPath string, trouble bool) (broken bool, err error) {
	log := newRecord()
	f, err := newFleet(directory, answerMachines, log)
	if err != nil {
		return false, err
	}
	defer f.close()
	size := largestTraffic
	if trouble {
		size = largerAnswer
	}
	route := func(name, kind string) store.Route {
		return store.Route{Name: name, PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 4000, TargetLatencyMs: 1000, Priority: 1, Service: callerService, MaxAttempts: 2}
	}
	f.store.PutJSON(store.KeyConfiguration, store.Configuration{
		Version: 17, Services: []store.Service{{Name: callerService, HealthPath: instance.HealthPath}},
		Limits: store.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 20000},
		VirtualHosts: []store.VirtualHost{{Host: host, Paths: []store.Route{
			route("map-pack", "download"), route("order", store.KindUnsafe), route("status", store.KindSafe),
		}}},
	})
	for _, m := range f.machines {
		if err := m.startInstance(&instance.Instance{BodyOf: func(id string) string { return bodyOfSize(id, size) }}); err != nil {
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

	lost, whole, first := 0, 0, 0
	for round := range answerRounds {
		for _, m := range f.machines {
			for _, path := range []string{"/map-pack/", "/order/"} {
				id := fmt.Sprintf("%d%s%02d", m.number, strings.Trim(path, "/"), round)
				if status, _, _, err := get(m, http.MethodGet, "/status/", id+"-small"); err != nil || status != http.StatusOK {
					return false, fmt.Errorf("request %s-small before the large one: status %d, %w", id, status, err)
				}
				first++
				method := http.MethodGet
				if path == "/order/" {
					method = http.MethodPost
				}
				at := time.Now()
				status, body, kept, err := get(m, method, path, id)
				switch {
				case err == nil && status == http.StatusOK && body == bodyOfSize(id, size):
					whole++
				case err != nil && kept && time.Since(at) < routeTimeout:
					lost++
					log.note(at, "LOST: %s %s%s on a kept connection of machine %d: status %d, then the connection ended after %d of %d bytes, %.3f s after the request: %v",
						method, path, id, m.number, status, len(body), size, time.Since(at).Seconds(), err)
				default:
					log.note(at, "%s %s%s: status %d, %d bytes", method, path, id, status, len(body))
				}
			}
		}
	}
	ran := 0
	for _, m := range f.machines {
		for _, run := range m.instance.Runs() {
			if strings.HasSuffix(run.ID, "-small") {
				continue
			}
			ran++
			log.note(run.Began, "%s ran %s %s", m.instance.Name, run.Method, run.Target)
		}
	}
	summary := []string{
		fmt.Sprintf("trouble: %t; machines: %d; bytes of each large answer: %d", trouble, answerMachines, size),
		fmt.Sprintf("large answers asked for on kept connections: %d; instances ran %d of these requests", first, ran),
		fmt.Sprintf("answered with the whole body: %d; passed on, and the connection ended before the whole answer: %d", whole, lost),
	}
	for _, line := range summary {
		fmt.Println(line)
	}
	return lost > allowedLosses, log.write(recordPath, summary)
}

// bodyOfSize returns the body of the answer to a request: short for requests that end in -small.
func bodyOfSize(id string, size int) string {
	if strings.HasSuffix(id, "-small") {
		size = len(id)
	}
	return strings.Repeat(id, size/len(id)+1)[:size]
}

// notingReuse notes in kept whether a request goes out on a connection that was used before.
func notingReuse(ctx context.Context, kept *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { *kept = info.Reused }})
}

// get sends a request of a machine's client and returns what came of the answer.
func get(m *machine, method, path, id string) (status int, body string, kept bool, err error) {
	const deadline = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = notingReuse(ctx, &kept)
	request, err := http.NewRequestWithContext(ctx, method, m.outbound(path+id), nil)
	if err != nil {
		return 0, "", kept, err
	}
	request.Host = host
	request.Header.Set(instance.HeaderID, id)
	request.Header.Set(instance.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := m.client.Do(request)
	if err != nil {
		return 0, "", kept, err
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), kept, err
}
