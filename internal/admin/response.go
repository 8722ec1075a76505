package admin

import (
	"time"

	"github.com/winchhead/winchhead/internal/distribution"
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// Duration is a time span that JSON carries with its unit, such as "1.5s".
type Duration time.Duration

// String returns the span with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the span with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a span written by MarshalText.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Refusal is a version that a node refused as a whole.
type Refusal struct {
	Version snapshot.Version `json:"version"`
	Reason  string           `json:"reason"`
}

// NodeStatus answers /v1/status: what one node holds.
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
	// Conflict is a version seen with the revision of Held and other content.
	Conflict *snapshot.Version `json:"conflict,omitempty"`
	// Reader is set while the node reads the platform.
	Reader bool `json:"reader"`
	// SourceAge is how long ago, by the node's knowledge, a reader last
	// confirmed the revision with the platform; negative when never.
	SourceAge Duration `json:"source_age"`
}

// FleetStatus answers /v1/fleet: what each live member holds, sorted by node.
type FleetStatus struct {
	Members []MemberStatus `json:"members"`
	// Restore is the last restore of the source that the asked node has seen.
	Restore *Restore `json:"restore,omitempty"`
}

// Restore tells of a source that came back from a copy of itself.
type Restore struct {
	// From is the version that was in force before, To the first revision read since.
	From snapshot.Version  `json:"from"`
	To   snapshot.Revision `json:"to"`
	// Age is how long ago the node learned of it.
	Age Duration `json:"age"`
	// Retained is how many statements about instances and evacuations the node holds against the
	// copy, for RetainedFor at most.
	Retained    int      `json:"retained"`
	RetainedFor Duration `json:"retained_for"`
}

// MemberStatus is the answer of one member, or why there is none.
type MemberStatus struct {
	Node   membership.NodeID `json:"node"`
	Status *NodeStatus       `json:"status,omitempty"`
	Error  string            `json:"error,omitempty"`
}

// MemberList answers /v1/members: the node's view of the fleet.
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
	// Listed tells whether the platform's list names the node now.
	Listed bool `json:"listed"`
	// Leaving is set once the list or the node itself says that it leaves.
	Leaving bool `json:"leaving"`
	// Suspected is set while neighbours report that they cannot reach the node.
	Suspected bool `json:"suspected"`
}

// Configuration answers /v1/configuration: what is in force, with the names of
// secrets and never their values.
type Configuration struct {
	Version    snapshot.Version   `json:"version"`
	Generation uint64             `json:"generation"`
	Routes     []Route            `json:"routes"`
	Services   []snapshot.Service `json:"services"`
	Secrets    []string           `json:"secrets"`
	// EvacuatedZones are the zones whose instances get no requests.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// Route is a compiled route whose timeout is written with its unit.
type Route struct {
	snapshot.Route
	Timeout Duration `json:"timeout"`
}

// Explanation answers /v1/explain: what the node would do with a request.
type Explanation struct {
	Node       membership.NodeID `json:"node"`
	Version    snapshot.Version  `json:"version"`
	Generation uint64            `json:"generation"`
	// Route is the route that takes the request, or nil.
	Route *Route `json:"route,omitempty"`
	// MayRepeat tells whether the request's method may run more than once.
	MayRepeat bool     `json:"may_repeat"`
	Targets   []Target `json:"targets,omitempty"`
	// EvacuatedZones are the zones whose instances get no requests.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
	// Considered holds each route in matching order and why it takes the request
	// or not.
	Considered []Consideration `json:"considered"`
}

// Consideration is one route by name and why it takes the request or not.
type Consideration struct {
	Route   string           `json:"route"`
	Verdict snapshot.Verdict `json:"verdict"`
	// Header names the header that differs, if that is the verdict.
	Header string `json:"header,omitempty"`
}

// Target is one service of the route and the instances that take work now.
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

// Failure is the body of an answer that is no success.
type Failure struct {
	Error string `json:"error"`
}

// newNodeStatus converts the report that nodes send each other.
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
