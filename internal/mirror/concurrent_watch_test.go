package mirror_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/emulator/store"
	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// TestChangesDuringLargeResponse: changes of instances and zones written while a large
// configuration is being received are published before it is complete. So are changes written just
// before it and changes in small responses.
func TestChangesDuringLargeResponse(t *testing.T) {
	const (
		configurationBytes = 100 << 10
		// bytesPerSecond makes the configuration take over a second.
		bytesPerSecond = 100_000
	)
	gone, draining := snapshot.InstanceRemoval, snapshot.Lifecycle(snapshot.InstanceDraining)
	for name, row := range map[string]struct {
		write func(emulated *store.Store) snapshot.Revision
		is    func(change snapshot.Change) bool
	}{
		"instance drains": {
			func(s *store.Store) snapshot.Revision {
				return snapshot.Revision(s.Put("servers/i-1", instance("a", "10.0.0.1:80", "draining")))
			},
			func(change snapshot.Change) bool { return change.Instance != nil && change.Instance.State == draining },
		},
		"entry removed": {
			func(s *store.Store) snapshot.Revision { return snapshot.Revision(s.Delete("servers/i-1")) },
			func(change snapshot.Change) bool { return change == gone(change.Revision, "i-1") },
		},
		"invalid entry": {
			func(s *store.Store) snapshot.Revision { return snapshot.Revision(s.Put("servers/i-1", []byte("x"))) },
			func(change snapshot.Change) bool { return change == gone(change.Revision, "i-1") },
		},
		"zone evacuated": {
			func(s *store.Store) snapshot.Revision {
				return snapshot.Revision(s.Put("op/evacuate/z", []byte("{}")))
			},
			func(change snapshot.Change) bool { return change.Evacuated && change.Key.Name == "z" },
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newHarness(t, timeout)
			published := make(chan snapshot.Change, 100)
			r.mirror.OnChanges(func(changes []snapshot.Change) {
				for _, change := range changes {
					published <- change
				}
			})
			r.store.Put("op/config", configuration(1, "a"))
			r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
			first := r.follow(c, 0)
			r.store.SetRate(bytesPerSecond)
			r.store.Put("op/config", append(configuration(2, "a"), bytes.Repeat([]byte(" "), configurationBytes)...))
			read := make(chan snapshot.Revision)
			go func() {
				version, _ := r.mirror.AwaitRevision(context.Background(), first.Version().Revision, wait)
				read <- version.Revision
			}()
			written := row.write(r.store)
			select {
			case change := <-published:
				c.Check(change.Revision, qt.Equals, written)
				c.Check(row.is(change), qt.IsTrue, qt.Commentf("%+v", change))
				<-read
			case <-read:
				t.Fatal("the change was published only after the whole configuration had been received")
			}
		})
	}
}

// TestChangesAfterOutage: instances whose lease expired during a store outage are not published as
// removed ahead of the document. All other changes are published at once.
func TestChangesAfterOutage(t *testing.T) {
	names := []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"}
	for name, row := range map[string]struct {
		outage    time.Duration
		removed   []string // removed by the end of the outage
		published []string // removals published after it
		// compacted makes the store drop its history, so that it is listed again.
		compacted bool
	}{
		"half the leases expire":              {4 * time.Second, names[:4], nil, false},
		"half the leases expire, then a list": {4 * time.Second, names[:4], nil, true},
		"one stopped meanwhile":               {4 * time.Second, names[:1], names[:1], false},
		"one stopped, then a list":            {4 * time.Second, names[:1], names[:1], true},
		"no outage":                           {0, names[:4], names[:4], false},
		"no outage, then a list":              {0, names[:4], names[:4], true},
		"one failed read, many stopped":       {100 * time.Millisecond, names[:4], names[:4], false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				emulated := &scriptedStore{c: c}
				var gone, draining, evacuated []string
				m, err := mirror.New(mirror.Options{Store: emulated, Logger: logging.Discard(), Timeout: time.Minute})
				c.Assert(err, qt.IsNil)
				m.OnChanges(func(changes []snapshot.Change) {
					for _, change := range changes {
						switch {
						case change.Evacuated:
							evacuated = append(evacuated, change.Key.Name)
						case change.Instance == nil:
							gone = append(gone, change.Key.Name)
						case change.Instance.State == snapshot.InstanceDraining:
							draining = append(draining, change.Key.Name)
						}
					}
				})
				ctx := context.Background()
				emulated.put(names...)
				_, _ = m.AwaitRevision(ctx, 0, 0)
				time.Sleep(time.Minute) // well after the grace period that follows the first read
				_, _ = m.AwaitRevision(ctx, emulated.revision, 0)
				if row.outage > 0 {
					emulated.unavailable = true
					_, _ = m.AwaitRevision(ctx, emulated.revision, 0)
					time.Sleep(row.outage)
					emulated.unavailable = false
				}
				known := emulated.revision
				emulated.remove(row.removed...)
				emulated.evacuate("y")
				if !row.compacted {
					_, _ = m.AwaitRevision(ctx, known, 0)
				}
				known = emulated.revision
				emulated.drain(names[7])
				emulated.compacted = row.compacted
				_, _ = m.AwaitRevision(ctx, known, 0)
				c.Check(evacuated, qt.DeepEquals, []string{"y"})
				slices.Sort(gone)
				c.Check(gone, qt.DeepEquals, row.published)
				c.Check(draining, qt.DeepEquals, []string{names[7]})
			})
		})
	}
}

// TestNewInstancesComeWithTheDocument: a new ready instance is not published ahead of its document,
// a changed one is. Otherwise each of 300 starting nodes would send all instances to all others,
// which costs much traffic between zones.
func TestNewInstancesComeWithTheDocument(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	var published []string
	r.mirror.OnChanges(func(changes []snapshot.Change) {
		for _, change := range changes {
			published = append(published, fmt.Sprintf("%s %s", change.Key.Name, change.Instance.State))
		}
	})
	r.store.Put("op/config", configuration(1, "a"))
	revision := r.follow(c, 0).Version().Revision
	for _, write := range []func(){
		func() { r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready")) },
		func() { r.store.Put("servers/i-1", instance("a", "10.0.0.2:80", "ready")) },
		func() { r.store.Put("servers/i-2", instance("a", "10.0.0.3:80", "draining")) },
		func() { r.store.Put("servers/i-1", instance("a", "10.0.0.2:80", "draining")) },
		func() { r.store.Put("servers/i-3", instance("a", "10.0.0.4:80", "ready")); r.store.Compact() },
		func() { r.store.Put("servers/i-3", instance("a", "10.0.0.5:80", "ready")); r.store.Compact() },
	} {
		write()
		revision = r.follow(c, revision).Version().Revision
	}
	c.Check(published, qt.DeepEquals, []string{"i-1 ready", "i-2 draining", "i-1 draining", "i-3 ready"})
}

// TestNoConcurrentWatchBeforeFirstConfiguration: all nodes of a starting fleet read the large first
// configuration at once. No change can take effect before it, so no node watches instances
// concurrently; otherwise 80 nodes would make about 800 more calls to the store.
func TestNoConcurrentWatchBeforeFirstConfiguration(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.mirror.OnChanges(func([]snapshot.Change) {})
	var concurrentWatches atomic.Int64
	r.store.SetFault(func(request *http.Request) store.Fault {
		if prefix := request.URL.Query().Get("pathPrefix"); prefix != "" {
			concurrentWatches.Add(1)
		}
		return store.NoFault
	})
	r.store.Put("servers/i-1", instance("a", "10.0.0.1:80", "ready"))
	_, outcome := r.mirror.AwaitRevision(context.Background(), 0, 0)
	c.Assert(outcome.Status, qt.Equals, source.StatusNotModified)
	large := append(configuration(1, "a"), bytes.Repeat([]byte(" "), 200<<10)...)
	r.store.Put("op/config", large)
	first := r.follow(c, 0)
	c.Check(first.Content().Instances, qt.HasLen, 1)
	r.mirror.Close()
	c.Check(concurrentWatches.Load(), qt.Equals, int64(0))
}

// TestManyInstancesAreNotALargeResponse: the entries of a hundred instances take no longer to
// receive than concurrent watches would, and 295 starting nodes that watch concurrently for such
// responses would make about 1,100 calls to the store.
func TestManyInstancesAreNotALargeResponse(t *testing.T) {
	const instances = 100
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.mirror.OnChanges(func([]snapshot.Change) {})
	r.store.Put("op/config", configuration(1, "a"))
	first := r.follow(c, 0)
	var concurrentWatches atomic.Int64
	r.store.SetFault(func(request *http.Request) store.Fault {
		if request.URL.Query().Get("pathPrefix") != "" {
			concurrentWatches.Add(1)
		}
		return store.NoFault
	})
	for i := range instances {
		r.store.Put(fmt.Sprintf("servers/i-%d", i), instance("a", fmt.Sprintf("10.0.0.%d:80", i), "ready"))
	}
	next := r.follow(c, first.Version().Revision)
	for len(next.Content().Instances) < instances {
		next = r.follow(c, next.Version().Revision)
	}
	r.mirror.Close()
	c.Check(concurrentWatches.Load(), qt.Equals, int64(0))
}
