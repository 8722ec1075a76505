package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/wire"
)

const listedNode = membership.NodeID("n")

func listedAs(state membership.ListedState) []membership.ListedMember {
	return []membership.ListedMember{{Node: listedNode, PeerAddress: "127.0.0.1:1", State: state}}
}

// listStep is an answer of the platform to this node, or a list entry from a peer.
type listStep struct {
	revision uint64
	state    membership.ListedState
	// fromPeer is set if a peer sent the entry; otherwise this node read it.
	fromPeer bool
	// unchanged is set if the platform answered that the list has not changed.
	unchanged bool
}

func (s listStep) apply(book *listReplica) {
	switch {
	case s.fromPeer:
		book.merge(wire.ListedEntry{Node: listedNode, Members: listedAs(s.state), Order: int64(s.revision) * ordersPerRevision})
	case s.unchanged:
		mergeAll(book, book.storeUnchanged(s.revision))
	default:
		mergeAll(book, book.storeRead(listedAs(s.state), s.revision, time.UnixMilli(1)))
	}
}

func mergeAll(book *listReplica, entries []wire.ListedEntry) {
	for _, entry := range entries {
		book.merge(entry)
	}
}

// TestOutdatedListEntryIsIgnored checks that the entry of the list's last revision wins, whoever
// read it and in whatever order entries arrive.
func TestOutdatedListEntryIsIgnored(t *testing.T) {
	const live, leaving = membership.ListedLive, membership.ListedLeaving
	for name, row := range map[string]struct {
		steps []listStep
		want  membership.ListedState
	}{
		"in order":                {[]listStep{{5, live, true, false}, {6, leaving, true, false}, {7, live, true, false}}, live},
		"peer late":               {[]listStep{{5, live, true, false}, {7, live, true, false}, {6, leaving, true, false}}, live},
		"peer late, read before":  {[]listStep{{5, live, false, false}, {7, live, false, false}, {6, leaving, true, false}}, live},
		"read late, peer before":  {[]listStep{{7, live, true, false}, {6, leaving, false, false}}, live},
		"read after peer":         {[]listStep{{5, live, false, false}, {6, leaving, true, false}, {7, live, false, false}}, live},
		"unchanged, peer between": {[]listStep{{5, live, false, false}, {6, leaving, true, false}, {7, live, false, true}}, live},
		"unchanged, peer after":   {[]listStep{{5, live, false, false}, {6, live, false, true}, {7, leaving, true, false}}, leaving},
		"last revision leaving":   {[]listStep{{5, live, false, false}, {6, live, true, false}, {7, leaving, false, false}}, leaving},
	} {
		t.Run(name, func(t *testing.T) {
			book := newListReplica()
			for _, step := range row.steps {
				step.apply(&book)
			}
			qt.Check(t, book.entries[listedNode].Members, qt.DeepEquals, listedAs(row.want))
		})
	}
}

// TestListChangeWithinOneRevision checks that an entry may change within one revision of the
// list, as when it is no longer awaited.
func TestListChangeWithinOneRevision(t *testing.T) {
	c := qt.New(t)
	book := newListReplica()
	mergeAll(&book, book.storeRead(listedAs(membership.ListedLive), 5, time.Time{}))
	news := book.storeRead(nil, 5, time.Time{})
	c.Assert(news, qt.HasLen, 1)
	mergeAll(&book, news)
	c.Check(book.entries[listedNode].Members, qt.HasLen, 0)
	mergeAll(&book, book.storeRead(listedAs(membership.ListedLive), 6, time.Time{}))
	c.Check(book.entries[listedNode].Members, qt.HasLen, 1)
}
