package mirror_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/logging"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/mirror"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/source"
)

// TestSampleMembers checks that samples go through the pages in turn and start anew after the last,
// that a failed one is repeated, and that nothing of them counts as the content of the store.
func TestSampleMembers(t *testing.T) {
	c := qt.New(t)
	store := &scriptedStore{c: c}
	store.put("a", "b", "c")
	m, err := mirror.New(mirror.Options{
		Store: store, Logger: logging.Discard(), Timeout: time.Minute,
		MemberOf: func(instance snapshot.Instance) (membership.ListedMember, bool) {
			return membership.ListedMember{Node: membership.NodeID(instance.Name)}, true
		},
	})
	c.Assert(err, qt.IsNil)
	sample := func() (nodes []membership.NodeID) {
		list, outcome := m.SampleMembers(context.Background())
		c.Assert(outcome.Status, qt.Equals, source.StatusFresh)
		c.Check(list.Revision, qt.Equals, uint64(store.revision))
		for _, member := range list.Members {
			nodes = append(nodes, member.Node)
		}
		return nodes
	}
	c.Check(sample(), qt.DeepEquals, []membership.NodeID{"a", "b"})
	store.unavailable = true
	_, outcome := m.SampleMembers(context.Background())
	c.Check(outcome.Status, qt.Not(qt.Equals), source.StatusFresh)
	store.unavailable = false
	c.Check(sample(), qt.DeepEquals, []membership.NodeID{"c"})
	c.Check(sample(), qt.DeepEquals, []membership.NodeID{"a", "b"})
	list, _ := m.Members(context.Background(), "", 0)
	c.Check(list.Members, qt.HasLen, 3)
}
