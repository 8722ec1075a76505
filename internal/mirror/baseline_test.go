package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// TestReaderThatTakesOver guards against a node that takes over reading after an outage of the store
// and has read nothing itself: compared with nothing, the entries that expired in the outage are
// missing at once at all nodes, and an instance that leaves is not told ahead of the document.
func TestReaderThatTakesOver(t *testing.T) {
	c := qt.New(t)
	store := &scriptedStore{c: c}
	store.put("a", "b", "c", "d")
	first, err := mirror.New(mirror.Options{Store: store, Logger: logging.Discard(), Timeout: time.Minute})
	c.Assert(err, qt.IsNil)
	document, outcome := first.Fetch(context.Background(), snapshot.Version{})
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)

	second, err := mirror.New(mirror.Options{
		Store: store, Logger: logging.Discard(), Timeout: time.Minute,
		MemberOf: func(snapshot.Instance) (membership.ListedMember, bool) { return membership.ListedMember{}, false },
	})
	c.Assert(err, qt.IsNil)
	_, outcome = second.SampleMembers(context.Background()) // at its start, before the outage
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
	store.remove("a", "b") // expired
	store.drain("c")
	second.SetInForce(func() (snapshot.Content, bool) { return document.Content(), true })
	var changes []snapshot.Change
	second.OnChanges(func(found []snapshot.Change) { changes = append(changes, found...) })
	version, outcome := second.AwaitRevision(context.Background(), document.Version().Revision, 0)
	c.Check(outcome.Status, qt.Equals, source.StatusNotModified)
	c.Check(version, qt.Equals, snapshot.Version{})
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Key, qt.Equals, snapshot.Key{Kind: snapshot.KindInstance, Name: "c"})

	store.put("a", "b") // back again
	version, outcome = second.AwaitRevision(context.Background(), document.Version().Revision, 0)
	c.Check(outcome.Status, qt.Equals, source.StatusFresh)
	c.Check(version.Revision, qt.Equals, store.revision)
}

// TestReaderTakesOverAfterARestore guards against a node whose first list of the store comes after the
// store was restored from a backup. What the backup lacks was acknowledged, and nodes retain it; if the
// reader took it for removed, all nodes would drop running instances.
func TestReaderTakesOverAfterARestore(t *testing.T) {
	c := qt.New(t)
	store := &scriptedStore{c: c, revision: snapshot.NewRevision(1, 20)}
	store.put("a", "b", "c", "d")
	first, err := mirror.New(mirror.Options{Store: store, Logger: logging.Discard(), Timeout: time.Minute})
	c.Assert(err, qt.IsNil)
	document, outcome := first.Fetch(context.Background(), snapshot.Version{})
	c.Assert(outcome.Status, qt.Equals, source.StatusFresh)

	delete(store.items, "a")
	delete(store.items, "b")
	store.revision, store.events = snapshot.NewRevision(2, 4), nil
	second, err := mirror.New(mirror.Options{Store: store, Logger: logging.Discard(), Timeout: time.Minute})
	c.Assert(err, qt.IsNil)
	second.SetInForce(func() (snapshot.Content, bool) { return document.Content(), true })
	var changes []snapshot.Change
	second.OnChanges(func(found []snapshot.Change) { changes = append(changes, found...) })
	version, outcome := second.AwaitRevision(context.Background(), document.Version().Revision, 0)
	c.Check(outcome.Status, qt.Equals, source.StatusFresh)
	c.Check(version.Revision, qt.Equals, store.revision, qt.Commentf("the restored state is not withheld"))
	c.Check(changes, qt.HasLen, 0, qt.Commentf("what a backup lacks is no certain change"))
}

// TestTakeOverPublishesOnlyChanges guards against a take-over whose messages grow with the fleet: what a
// reader's first list changes is published, and not every instance that it lists.
func TestTakeOverPublishesOnlyChanges(t *testing.T) {
	for _, instances := range []int{100, 1000} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			c := qt.New(t)
			store := &scriptedStore{c: c}
			for i := range instances {
				store.put(fmt.Sprint("i-", i))
			}
			first, err := mirror.New(mirror.Options{Store: store, Logger: logging.Discard(), Timeout: time.Minute})
			c.Assert(err, qt.IsNil)
			document, outcome := first.Fetch(context.Background(), snapshot.Version{})
			c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
			store.drain("i-7")

			second, err := mirror.New(mirror.Options{Store: store, Logger: logging.Discard(), Timeout: time.Minute})
			c.Assert(err, qt.IsNil)
			second.SetInForce(func() (snapshot.Content, bool) { return document.Content(), true })
			published := 0
			second.OnChanges(func(found []snapshot.Change) { published += len(found) })
			_, outcome = second.AwaitRevision(context.Background(), document.Version().Revision, 0)
			c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
			c.Check(published, qt.Equals, 1)
		})
	}
}
