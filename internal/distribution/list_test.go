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

// listStep is an answer of the platform to the own node, or an entry that another node
// tells of one.
type listStep struct {
	revision uint64
	state    membership.ListedState
	// told says that a peer tells it; otherwise the own node read it.
	told bool
	// unchanged says that the platform answered that the list is still the same.
	unchanged bool
}

func (s listStep) apply(book *listBook) {
	switch {
	case s.told:
		book.merge(wire.ListedEntry{Node: listedNode, Members: listedAs(s.state), Order: int64(s.revision) * ordersPerRevision})
	case s.unchanged:
		mergeAll(book, book.confirmed(s.revision))
	default:
		mergeAll(book, book.changes(listedAs(s.state), s.revision, time.UnixMilli(1)))
	}
}

func mergeAll(book *listBook, entries []wire.ListedEntry) {
	for _, entry := range entries {
		book.merge(entry)
	}
}

// TestLateAnswerNeverWins: the state of the list's last revision holds in the end, whoever
// reads or tells it and in whatever order it arrives.
func TestLateAnswerNeverWins(t *testing.T) {
	const live, leaving = membership.ListedLive, membership.ListedLeaving
	for name, row := range map[string]struct {
		steps []listStep
		want  membership.ListedState
	}{
		"in order":                 {[]listStep{{5, live, true, false}, {6, leaving, true, false}, {7, live, true, false}}, live},
		"told late":                {[]listStep{{5, live, true, false}, {7, live, true, false}, {6, leaving, true, false}}, live},
		"told late, read before":   {[]listStep{{5, live, false, false}, {7, live, false, false}, {6, leaving, true, false}}, live},
		"read late, told before":   {[]listStep{{7, live, true, false}, {6, leaving, false, false}}, live},
		"read after it was told":   {[]listStep{{5, live, false, false}, {6, leaving, true, false}, {7, live, false, false}}, live},
		"unchanged, told between":  {[]listStep{{5, live, false, false}, {6, leaving, true, false}, {7, live, false, true}}, live},
		"unchanged, told after it": {[]listStep{{5, live, false, false}, {6, live, false, true}, {7, leaving, true, false}}, leaving},
		"the last one leaves":      {[]listStep{{5, live, false, false}, {6, live, true, false}, {7, leaving, false, false}}, leaving},
	} {
		t.Run(name, func(t *testing.T) {
			book := newListBook()
			for _, step := range row.steps {
				step.apply(&book)
			}
			qt.Check(t, book.entries[listedNode].Members, qt.DeepEquals, listedAs(row.want))
		})
	}
}

// TestChangeAtOneRevision: what is believed of a list may change while the list stays the
// same, as when an entry is no longer awaited.
func TestChangeAtOneRevision(t *testing.T) {
	c := qt.New(t)
	book := newListBook()
	mergeAll(&book, book.changes(listedAs(membership.ListedLive), 5, time.Time{}))
	news := book.changes(nil, 5, time.Time{})
	c.Assert(news, qt.HasLen, 1)
	mergeAll(&book, news)
	c.Check(book.entries[listedNode].Members, qt.HasLen, 0)
	mergeAll(&book, book.changes(listedAs(membership.ListedLive), 6, time.Time{}))
	c.Check(book.entries[listedNode].Members, qt.HasLen, 1)
}
