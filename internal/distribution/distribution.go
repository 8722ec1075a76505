// Package distribution brings each configuration version to every node. Engine
// is the decision code: it takes events and a clock and returns actions (which
// version to adopt, whom to link to, whether to read the source). Node runs an
// Engine over real links. It neither compiles policies nor proxies requests.
//
// Engine, by file: engine (events in, actions out, timers), links (the life of one
// link), overlay, selection, peers and upkeep (which links to have), push,
// announce and refusals (versions), records, list and repair (what is known of
// the fleet), ranking, reading and members (who reads the platform), start (when
// the source may be trusted). Node: node, node_links, connection, platform,
// status, stats. Package simulation runs engines under virtual time.
package distribution

import (
	"context"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// Adopter puts documents in force. Package configuration implements it.
type Adopter interface {
	// Adopt compiles the document and puts it in force as a whole, or returns why
	// it refuses it as a whole. It is never called twice at once.
	Adopt(document *snapshot.Document) error
	// FleetChanged tells that the view of the fleet changed, so that conditions
	// of policies can be evaluated again. It must not block.
	FleetChanged(view *membership.View)
}

// Fleet gives the other parts of the process the current view of the fleet.
type Fleet interface {
	// View returns the current picture; it is never nil.
	View() *membership.View
	// SetState publishes the state of the own instance.
	SetState(state membership.State)
}

// StatusSource answers operators' questions about this node and the fleet.
type StatusSource interface {
	// Status tells what this node holds.
	Status() wire.StatusReply
	// AskAll asks every known live member over short connections and returns one
	// report each, sorted by node. It asks at most a few tens at once.
	AskAll(ctx context.Context) []MemberStatus
}

// MemberStatus is the answer of one member, or why there is none.
type MemberStatus struct {
	Node  membership.NodeID `json:"node"`
	Reply *wire.StatusReply `json:"reply,omitempty"`
	Error string            `json:"error,omitempty"`
}

// Node fills these roles for the rest of the process.
var (
	_ Fleet        = (*Node)(nil)
	_ StatusSource = (*Node)(nil)
)
