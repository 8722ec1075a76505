package mirror_test

import (
	"context"
	"fmt"
	"net/http"
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

// newRestoredHarness returns a harness whose store was read up to configuration 9 after 30 more
// writes, and was then restored from a backup made before them.
func newRestoredHarness(t *testing.T, c *qt.C) (r *harness, held *snapshot.Document, published *[]snapshot.Change) {
	r = newHarness(t, timeout)
	published = new([]snapshot.Change)
	r.mirror.OnChanges(func(changes []snapshot.Change) { *published = append(*published, changes...) })
	r.store.SetEra(1)
	r.store.Put("op/config", configuration(8, "a"))
	for i := range 4 {
		r.store.Put(fmt.Sprintf("servers/i-%d", i), instance("a", fmt.Sprintf("10.0.0.%d:80", i+1), "ready"))
	}
	backup := r.store.Backup()
	for range 30 {
		r.store.Put("op/config", configuration(9, "b"))
	}
	r.store.Put("servers/i-0", instance("a", "10.0.0.1:80", "draining"))
	r.store.Delete("servers/i-1")
	r.store.Put("servers/i-9", instance("a", "10.0.0.10:80", "ready"))
	r.store.Put("op/evacuate/y", []byte("{}"))
	held = r.follow(c, 0)
	c.Assert(held.Content().Evacuations, qt.HasLen, 1)
	r.store.Restore(backup)
	return r, held, published
}

// TestRestoredStore: a store restored from a backup assigns revisions again, so its lists may seem
// older than the state already read. It must be read with one list, after which the watch continues
// from there.
func TestRestoredStore(t *testing.T) {
	c := qt.New(t)
	r, held, published := newRestoredHarness(t, c)
	lists := r.store.Calls("/v1/kv-range")
	restored := r.follow(c, held.Version().Revision)
	c.Check(restored.Version().Revision, qt.Equals, snapshot.NewRevision(2, 5))
	c.Check(restored.Origin(), qt.Equals, snapshot.Origin{Number: 8, Epoch: 2})
	c.Check(restored.Content().Instances, qt.HasLen, 4)
	c.Check(*published, qt.HasLen, 0, qt.Commentf("entries that are older or missing in a backup are not certain changes"))

	r.store.Put("servers/i-2", instance("a", "10.0.0.3:80", "draining"))
	written := r.follow(c, restored.Version().Revision)
	c.Check(written.Version().Revision, qt.Equals, snapshot.NewRevision(2, 6))
	c.Check(*published, qt.HasLen, 1)
	r.store.Put("op/config", configuration(10, "b"))
	c.Check(r.follow(c, written.Version().Revision).Origin(), qt.Equals, snapshot.Origin{Number: 10, Epoch: 2})
	c.Check(r.store.Calls("/v1/kv-range")-lists, qt.Equals, 1)
}

// TestRestoredStorePassesHeldRevision: once the restored store has assigned as many revisions again,
// it accepts a watch from the revision held. What it wrote before that must not be missed.
func TestRestoredStorePassesHeldRevision(t *testing.T) {
	c := qt.New(t)
	r, held, _ := newRestoredHarness(t, c)
	r.store.Put("servers/i-2", instance("a", "10.0.0.3:80", "draining"))
	for range 60 {
		r.store.Put("op/config", configuration(11, "a"))
	}
	passed := r.follow(c, held.Version().Revision)
	c.Check(passed.Origin(), qt.Equals, snapshot.Origin{Number: 11, Epoch: 2})
	c.Check(passed.Content().Instances[2].State, qt.Equals, snapshot.InstanceDraining)
}

// TestLateResponseOfEarlierEpoch: a response from before the store was restored is rejected.
func TestLateResponseOfEarlierEpoch(t *testing.T) {
	c := qt.New(t)
	r, held, _ := newRestoredHarness(t, c)
	restored := r.follow(c, held.Version().Revision)
	r.store.SetEra(1)
	_, outcome := r.mirror.AwaitRevision(context.Background(), restored.Version().Revision, 0)
	c.Check(outcome.Status, qt.Equals, source.StatusUnreachable)
	c.Check(outcome.Err, qt.ErrorMatches, ".*earlier epoch.*")
	r.store.SetEra(2)
	r.store.Put("servers/i-2", instance("a", "10.0.0.3:80", "draining"))
	c.Check(r.follow(c, restored.Version().Revision).Version().Revision, qt.Equals, snapshot.NewRevision(2, 6))
}

// TestRestoredWhileListed: pages of two epochs are not combined into one state.
func TestRestoredWhileListed(t *testing.T) {
	c := qt.New(t)
	r := newHarness(t, timeout)
	r.store.SetEra(1)
	r.store.SetPageSize(2)
	r.store.Put("op/config", configuration(7, "a"))
	backup := r.store.Backup()
	for i := range 5 {
		r.store.Put(fmt.Sprintf("servers/i-%d", i), instance("a", fmt.Sprintf("10.0.0.%d:80", i+1), "ready"))
	}
	pages := 0
	r.store.SetFault(func(request *http.Request) store.Fault {
		if pages++; pages == 2 {
			r.store.Restore(backup)
		}
		return store.NoFault
	})
	_, outcome := r.mirror.AwaitRevision(context.Background(), 0, 0)
	c.Check(outcome.Status, qt.Equals, source.StatusUnreachable)
	c.Check(r.follow(c, 0).Content().Instances, qt.HasLen, 0)
}

// TestBackupLacksInstances: after an outage the store is restored from a backup made before most
// instances had started. Nodes themselves retain what the backup lacks, so the list is published at
// once: withholding it until they are written again, up to two seconds, would also delay
// configurations accepted meanwhile. Leases that expire later are still withheld.
func TestBackupLacksInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		names := []string{"i-1", "i-2", "i-3", "i-4"}
		emulated := &scriptedStore{c: c, revision: snapshot.NewRevision(1, 20)}
		m, err := mirror.New(mirror.Options{Store: emulated, Logger: logging.Discard(), Timeout: time.Minute})
		c.Assert(err, qt.IsNil)
		ctx := context.Background()
		emulated.put(names...)
		_, _ = m.AwaitRevision(ctx, 0, 0)
		time.Sleep(time.Minute) // well after the grace period that follows the first read
		held, _ := m.AwaitRevision(ctx, emulated.revision, 0)
		c.Assert(instanceCount(c, m), qt.Equals, len(names))

		emulated.unavailable = true
		_, _ = m.AwaitRevision(ctx, held.Revision, 0)
		time.Sleep(4 * time.Second)
		emulated.unavailable = false
		for _, name := range names {
			delete(emulated.items, name)
		}
		emulated.revision, emulated.events = snapshot.NewRevision(2, 4), nil
		restored, outcome := m.AwaitRevision(ctx, held.Revision, 0)
		c.Assert(outcome.Err, qt.IsNil)
		c.Check(restored.Revision, qt.Equals, emulated.revision)
		c.Check(instanceCount(c, m), qt.Equals, 0)

		emulated.put(names...)
		written, _ := m.AwaitRevision(ctx, restored.Revision, 0)
		c.Check(written.Revision, qt.Equals, emulated.revision)
		emulated.remove(names...)
		_, _ = m.AwaitRevision(ctx, written.Revision, 0)
		c.Check(instanceCount(c, m), qt.Equals, len(names), qt.Commentf("the removal of expired instances is withheld"))
	})
}
