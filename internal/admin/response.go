package admin

import (
	"time"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// Duration is a time.Duration that is encoded in JSON with its unit, such as "1.5s".
type Duration time.Duration

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a duration written by MarshalText.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Refusal is a version that a node refused, and why.
type Refusal struct {
	Version snapshot.Version `json:"version"`
	Reason  string           `json:"reason"`
}

// NodeStatus is the response of /v1/status: what one node holds.
type NodeStatus struct {
	Node        membership.NodeID      `json:"node"`
	Incarnation membership.Incarnation `json:"incarnation"`
	Zone        string                 `json:"zone"`
	State       string                 `json:"state"`
	// Held is the version in force; zero while the node holds none.
	Held       snapshot.Version `json:"held"`
	Generation uint64           `json:"generation"`
	// Refused is the last refused version, if one was refused since Held.
	Refused *Refusal `json:"refused,omitempty"`
	// Conflict is a version seen with the same revision as Held but other content.
	Conflict *snapshot.Version `json:"conflict,omitempty"`
	// Reader is set while the node reads the platform.
	Reader bool `json:"reader"`
	// SourceAge is how long ago, as far as the node knows, a reader last confirmed
	// the revision with the platform; negative if never.
	SourceAge Duration `json:"source_age"`
}

// FleetStatus is the response of /v1/fleet: what each live member holds, sorted by
// node.
type FleetStatus struct {
	Members []MemberStatus `json:"members"`
	// Restore is the last restore of the source that the queried node has seen.
	Restore *Restore `json:"restore,omitempty"`
}

// Restore describes a restore of the source from a backup.
type Restore struct {
	// From is the version that was in force before the restore, To the first revision
	// read after it.
	From snapshot.Version  `json:"from"`
	To   snapshot.Revision `json:"to"`
	// Age is how long ago the node learned of the restore.
	Age Duration `json:"age"`
	// Retained is how many instance and evacuation states the node retains in place of the
	// source's, for RetainedFor at most.
	Retained    int      `json:"retained"`
	RetainedFor Duration `json:"retained_for"`
}

// MemberStatus is the status of one member, or the error that prevented its query.
type MemberStatus struct {
	Node   membership.NodeID `json:"node"`
	Status *NodeStatus       `json:"status,omitempty"`
	Error  string            `json:"error,omitempty"`
}

// MemberList is the response of /v1/members: the node's view of the fleet.
type MemberList struct {
	Members []Member `json:"members"`
}

// Member is one instance in the node's view.
type Member struct {
	Node        membership.NodeID      `json:"node"`
	Incarnation membership.Incarnation `json:"incarnation"`
	State       string                 `json:"state"`
	Region      string                 `json:"region"`
	Zone        string                 `json:"zone"`
	Service     string                 `json:"service,omitempty"`
	PeerAddress string                 `json:"peer_address"`
	DataAddress string                 `json:"data_address,omitempty"`
	// Listed is set while the platform's member list contains the node.
	Listed bool `json:"listed"`
	// Leaving is set once the list or the node itself reports that it leaves.
	Leaving bool `json:"leaving"`
	// Suspected is set while its peers report that they cannot reach the node.
	Suspected bool `json:"suspected"`
}

// Configuration is the response of /v1/configuration: the configuration in force,
// with the names of secrets but never their values.
type Configuration struct {
	Version    snapshot.Version   `json:"version"`
	Generation uint64             `json:"generation"`
	Routes     []Route            `json:"routes"`
	Services   []snapshot.Service `json:"services"`
	Secrets    []string           `json:"secrets"`
	// EvacuatedZones are the zones whose instances get no requests.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// Route is a compiled route whose timeout is encoded with its unit.
type Route struct {
	snapshot.Route
	Timeout Duration `json:"timeout"`
}

// Explanation is the response of /v1/explain: what the node would do with a request.
type Explanation struct {
	Node       membership.NodeID `json:"node"`
	Version    snapshot.Version  `json:"version"`
	Generation uint64            `json:"generation"`
	// Route is the route that matches the request, or nil.
	Route *Route `json:"route,omitempty"`
	// MayRepeat is set if the route allows a request of this method to run more than
	// once.
	MayRepeat bool     `json:"may_repeat"`
	Targets   []Target `json:"targets,omitempty"`
	// EvacuatedZones are the zones whose instances get no requests.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// Considered holds the verdict on each route, in matching order.
	Considered []RouteVerdict `json:"considered"`
}

// RouteVerdict states why a route matches the request or not.
type RouteVerdict struct {
	Route   string           `json:"route"`
	Verdict snapshot.Verdict `json:"verdict"`
	// Header is the name of the header that differs, if that is the verdict.
	Header string `json:"header,omitempty"`
}

// Target is one service of the route and the instances that accept requests now.
type Target struct {
	Service   string           `json:"service"`
	Weight    int              `json:"weight"`
	Instances []TargetInstance `json:"instances"`
}

// TargetInstance is one instance that may get the request.
type TargetInstance struct {
	Node        membership.NodeID `json:"node"`
	Zone        string            `json:"zone"`
	SameZone    bool              `json:"same_zone"`
	DataAddress string            `json:"data_address"`
	Slots       int               `json:"slots"`
	Suspected   bool              `json:"suspected"`
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// newNodeStatus converts the status that nodes send each other.
func newNodeStatus(reply wire.StatusReply) NodeStatus {
	status := NodeStatus{
		Node:        reply.Node,
		Incarnation: reply.Incarnation,
		Zone:        reply.Zone,
		State:       reply.State.String(),
		Held:        reply.Held,
		Generation:  reply.Generation,
		Reader:      reply.Reader,
		SourceAge:   Duration(time.Duration(reply.SourceAge) * time.Millisecond),
	}
	if !reply.Refused.IsZero() {
		status.Refused = &Refusal{Version: reply.Refused, Reason: reply.Reason}
	}
	if !reply.Conflict.IsZero() {
		status.Conflict = &reply.Conflict
	}
	return status
}

func newFleetStatus(members []distribution.MemberStatus) FleetStatus {
	fleet := FleetStatus{Members: make([]MemberStatus, 0, len(members))}
	for _, member := range members {
		status := MemberStatus{Node: member.Node, Error: member.Error}
		if member.Reply != nil {
			node := newNodeStatus(*member.Reply)
			status.Status = &node
		}
		fleet.Members = append(fleet.Members, status)
	}
	return fleet
}

func newMemberList(view *membership.View) MemberList {
	list := MemberList{Members: make([]Member, 0, len(view.Members()))}
	for _, member := range view.Members() {
		record := member.Record
		list.Members = append(list.Members, Member{
			Node:        record.Node,
			Incarnation: record.Incarnation,
			State:       record.State.String(),
			Region:      record.Region,
			Zone:        record.Zone,
			Service:     record.Service,
			PeerAddress: record.PeerAddress,
			DataAddress: record.DataAddress,
			Listed:      member.Listed,
			Leaving:     member.Leaving,
			Suspected:   member.Suspected,
		})
	}
	return list
}

func newRoute(route snapshot.Route) Route {
	return Route{Route: route, Timeout: Duration(route.Timeout)}
}
