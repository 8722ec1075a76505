package distribution

import (
	"time"

	"github.com/winchhead/winchhead/internal/membership"
)

const (
	// maintainInterval is the maximum time between two maintenance runs of the overlay.
	maintainInterval = time.Second
	// maintainDelay batches changes of the overlay that occur in quick succession.
	maintainDelay = 20 * time.Millisecond
	// maxProbes bounds the incoming probes at any time.
	maxProbes = 32
)

// overlay holds the links and the dial state of peers.
type overlay struct {
	links map[LinkID]*link
	// order holds the links in the order of their creation. Removing a link replaces
	// the slice, so that a loop over it may remove links.
	order            []*link
	peers            map[membership.NodeID]*peer
	nextID           LinkID
	maintainAt       time.Time
	retrySuspectedAt time.Time
}

func newOverlay() overlay {
	return overlay{links: make(map[LinkID]*link), peers: make(map[membership.NodeID]*peer), nextID: 1}
}

func (o *overlay) add(l *link) {
	o.links[l.id] = l
	o.order = append(o.order[:len(o.order):len(o.order)], l)
}

func (o *overlay) remove(l *link) {
	delete(o.links, l.id)
	order := make([]*link, 0, len(o.order))
	for _, other := range o.order {
		if other != l {
			order = append(order, other)
		}
	}
	o.order = order
}

// linkTo returns the link to a node that is up or being set up, nil if there is none.
// Probes are ignored.
func (o *overlay) linkTo(node membership.NodeID) *link {
	for _, l := range o.order {
		if l.node == node && !l.probe {
			return l
		}
	}
	return nil
}

func (o *overlay) countProbes() int {
	count := 0
	for _, l := range o.order {
		if l.probe && !l.outgoing {
			count++
		}
	}
	return count
}

func (o *overlay) countEstablished() int {
	count := 0
	for _, l := range o.order {
		if l.established() {
			count++
		}
	}
	return count
}

// establishedIDs returns the established links for which keep returns true.
func (o *overlay) establishedIDs(keep func(*link) bool) []LinkID {
	var ids []LinkID
	for _, l := range o.order {
		if l.established() && keep(l) {
			ids = append(ids, l.id)
		}
	}
	return ids
}

func (o *overlay) peer(node membership.NodeID) *peer {
	p := o.peers[node]
	if p == nil {
		p = &peer{}
		o.peers[node] = p
	}
	return p
}

// overlayChanged schedules maintenance of the overlay within maintainDelay.
func (e *Engine) overlayChanged() {
	soon := e.now.Add(maintainDelay)
	if e.overlay.maintainAt.IsZero() || soon.Before(e.overlay.maintainAt) {
		e.overlay.maintainAt = soon
	}
}

func (e *Engine) runOverlayTimers() {
	if e.passed(e.overlay.maintainAt) {
		e.overlay.maintainAt = e.now.Add(maintainInterval)
		if e.searchesPeers() {
			e.overlay.maintainAt = e.now.Add(searchInterval)
		}
		e.verifyLostPeers()
		e.dialGroup()
		e.dialCandidates()
		e.dialSuccessor()
		e.dialWanted()
		e.closeUnneeded()
	}
	if e.passed(e.overlay.retrySuspectedAt) {
		e.dialSuspected()
	}
}
