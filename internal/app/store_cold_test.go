package app

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/instance"
	"github.com/winchhead/winchhead/internal/snapshot"
)

const (
	// coldRate is the rate for cold instances in the configuration, in requests per second.
	coldRate = 4
	// coldCapacity is the number of requests per second that a cold instance can serve.
	coldCapacity = 8
)

// configureColdRate writes a configuration with coldRate for the cold instances of all
// services.
func (r *storeHarness) configureColdRate(version int) snapshot.Revision {
	text := fmt.Sprintf(configurationOf, version, "")
	for _, service := range []string{"front", "data"} {
		text = strings.Replace(text, fmt.Sprintf(`{"name":%q}`, service),
			fmt.Sprintf(`{"name":%q,"coldStartS":60,"coldPerS":%d}`, service, coldRate), 1)
	}
	return snapshot.Revision(r.store.Put("op/config", []byte(text)))
}

// putCold writes the entry of an instance that stays cold for the given time.
func (r *storeHarness) putCold(index int, coldFor time.Duration) snapshot.Revision {
	m := r.machines[index]
	return snapshot.Revision(r.store.Put("servers/"+m.instance.Name, fmt.Appendf(nil,
		`{"address":"%s:%d","info":{"service":%q,"zone":%q,"slots":4},"status":{"state":"ready","sequence":2,"coldRemainingMs":%d}}`,
		m.ip, r.backend, m.service, m.zone, coldFor.Milliseconds())))
}

// sendBurst sends requests all at once and counts the answers by status. A refused request
// must not have run, and its answer must have a Retry-After.
func (r *storeHarness) sendBurst(index, count int, label string) map[int]int {
	answers := make([]answer, count)
	var asking sync.WaitGroup
	for i := range count {
		asking.Go(func() {
			answers[i] = r.send(index, http.MethodPost, "/write/x", fmt.Sprintf("%s-%d", label, i), instance.HeaderDeadline, "1000")
		})
	}
	asking.Wait()
	statuses := map[int]int{}
	for i, got := range answers {
		statuses[got.status]++
		if got.status == http.StatusServiceUnavailable {
			r.c.Check(r.runs(fmt.Sprintf("%s-%d", label, i)), qt.HasLen, 0)
			r.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
			r.c.Logf("%s-%d: %s, retry after %s s", label, i, got.body, got.header.Get("Retry-After"))
		}
	}
	return statuses
}

// TestStoreColdInstancesAreNotOverloaded sends cold instances far more requests than they
// can serve. None may fail under the load. Once they are warm, all requests are served.
func TestStoreColdInstancesAreNotOverloaded(t *testing.T) {
	r := newStoreHarness(t, []string{"front", "data", "data"}, func(index int, emulated *instance.Instance) {
		if index > 0 {
			emulated.MaxPerSecond = coldCapacity
		}
	})
	r.configureColdRate(2)
	r.putCold(1, time.Minute)
	r.putCold(2, time.Minute)
	r.startAll()
	r.awaitRevision(snapshot.Revision(6))
	c := r.c
	statuses := r.sendBurst(0, 60, "after the start")
	c.Check(statuses[http.StatusOK] < 60, qt.IsTrue)
	c.Check(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], qt.Equals, 60)
	for _, m := range r.machines[1:] {
		c.Check(m.instance.Overloaded(), qt.IsFalse)
		m.instance.MaxPerSecond = 0 // safe to change, as no request is in progress
	}

	r.putCold(1, 0)
	r.awaitRevision(r.putCold(2, 0))
	c.Check(r.sendBurst(0, 60, "warm"), qt.DeepEquals, map[int]int{http.StatusOK: 60})
}
