// Package distribution distributes each configuration version to every node. Engine
// is a state machine: it takes events and the time and returns actions (which version
// to adopt, which peers to link to, whether to read the source). Node runs an Engine
// over TCP. The package neither compiles policies nor proxies requests.
//
// Engine, by file: engine (events, actions, timers), links (lifecycle of a link),
// overlay, selection, peers and upkeep (which links to keep), push, announce and
// refusals (configuration versions), records, list and repair (membership of the
// fleet), ranking, reading and members (which nodes read the platform by rank),
// freshness (which others do), source_reports and queueing_delay (how old the knowledge
// of the source is), change_delays (the sum of all waits), start (when the source may be
// trusted). Node: node, node_links, connection, platform, status,
// stats. Package simulation runs engines in virtual time.
package distribution

import (
	"context"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// Adopter puts documents in force. Package configuration implements it.
type Adopter interface {
	// Adopt compiles the document and puts it in force as a whole, or refuses it as a
	// whole and returns the reason. It is never called concurrently.
	Adopt(document *snapshot.Document) error
	// FleetChanged reports that the view of the fleet changed, so that policy
	// conditions can be reevaluated. It must not block.
	FleetChanged(view *membership.View)
}

// Fleet provides the current view of the fleet to the rest of the process.
type Fleet interface {
	// View returns the current view; it is never nil.
	View() *membership.View
	// SetState publishes the state of the local instance.
	SetState(state membership.State)
}

// StatusSource reports the status of this node and of the fleet to operators.
type StatusSource interface {
	// Status returns the status of this node.
	Status() wire.StatusReply
	// QueryAll requests the status of every known live member over short-lived connections
	// and returns one report each, sorted by node. At most maxStatusRequests run at once.
	QueryAll(ctx context.Context) []MemberStatus
}

// MemberStatus is the status of one member, or the error of the request for it.
type MemberStatus struct {
	Node  membership.NodeID `json:"node"`
	Reply *wire.StatusReply `json:"reply,omitempty"`
	Error string            `json:"error,omitempty"`
}

// Node implements the interfaces that the rest of the process uses.
var (
	_ Fleet        = (*Node)(nil)
	_ StatusSource = (*Node)(nil)
)
