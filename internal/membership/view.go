package membership

import (
	"iter"
	"maps"
	"slices"
	"sync"
)

// Endpoint is one instance of a service that may take new work.
type Endpoint struct {
	Node        NodeID
	Incarnation Incarnation
	Region      string
	Zone        string
	DataAddress string
	Slots       int
	// Suspected is set while an unrefuted observation says that the node cannot
	// be reached. It is only a hint: the outcome of the caller's own requests decides.
	Suspected bool
}

// Member is the merged state of one instance.
type Member struct {
	// Record is what the owner published. Incarnation 0 marks a member that only
	// the platform's list names: its address can be dialled, nothing else is known.
	Record Record
	// Listed is set while the platform's list names the node at its address.
	Listed bool
	// Leaving is set while the platform's list or the node's own record says that the node is
	// leaving.
	Leaving bool
	// Suspected is set while an observation about the node is unrefuted.
	Suspected bool
	// ListedAddress is the peer address in the platform's list where it differs
	// from the record's, as a second address to dial; otherwise empty.
	ListedAddress string
}

// MayTakeWork reports whether new requests may be sent to the member.
func (m *Member) MayTakeWork() bool {
	return m.Record.State == StateReady && !m.Leaving &&
		m.Record.Service != "" && m.Record.DataAddress != ""
}

func (m *Member) endpoint() Endpoint {
	return Endpoint{
		Node:        m.Record.Node,
		Incarnation: m.Record.Incarnation,
		Region:      m.Record.Region,
		Zone:        m.Record.Zone,
		DataAddress: m.Record.DataAddress,
		Slots:       m.Record.Slots,
		Suspected:   m.Suspected,
	}
}

// View is an immutable snapshot of the fleet. It is safe for concurrent use.
// Consecutive views share what did not change.
type View struct {
	members  []*Member // sorted by NodeID
	services map[string]*serviceView

	flatOnce sync.Once
	flat     []Member
}

// serviceView is the part of a View about one service. Views share it while it
// does not change.
type serviceView struct {
	endpoints []Endpoint
	ready     int
	zones     map[string]int
}

// NewView returns a view of the given members, which may be in any order but must
// not repeat a node.
func NewView(members []Member) *View {
	sorted := make([]*Member, len(members))
	for i := range members {
		member := members[i]
		sorted[i] = &member
	}
	sortMembers(sorted)
	return (&View{}).next(sorted, nil)
}

// All yields all known instances that have not ended, this node's included, sorted
// by NodeID. The caller must not change them.
func (v *View) All() iter.Seq[*Member] { return slices.Values(v.members) }

// Members returns what All yields as a slice, which the caller must not change.
// The first call copies all members.
func (v *View) Members() []Member {
	v.flatOnce.Do(func() {
		v.flat = make([]Member, len(v.members))
		for i, member := range v.members {
			v.flat[i] = *member
		}
	})
	return v.flat
}

// Len returns the number of instances that All yields.
func (v *View) Len() int { return len(v.members) }

// Member returns the member of that name, if it is known and has not ended.
func (v *View) Member(node NodeID) (Member, bool) {
	if member := v.find(node); member != nil {
		return *member, true
	}
	return Member{}, false
}

func (v *View) find(node NodeID) *Member {
	index, found := slices.BinarySearchFunc(v.members, node, compareToNode)
	if !found {
		return nil
	}
	return v.members[index]
}

// Endpoints returns the instances of a service that may take new work, suspected
// ones included, sorted by NodeID. The caller must not change the slice.
func (v *View) Endpoints(service string) []Endpoint {
	if part := v.services[service]; part != nil {
		return part.endpoints
	}
	return nil
}

// ReadyInstances counts the instances of a service that may take new work and
// are not suspected, in one zone, or in all zones when zone is empty.
func (v *View) ReadyInstances(service, zone string) int {
	part := v.services[service]
	switch {
	case part == nil:
		return 0
	case zone == "":
		return part.ready
	default:
		return part.zones[zone]
	}
}

// SameEndpoints reports whether both views have the same endpoints for every
// service, so that nothing derived from endpoints alone has to be updated. It may
// report false for views of which neither was built from the other.
func (v *View) SameEndpoints(other *View) bool {
	return maps.EqualFunc(v.services, other.services, func(a, b *serviceView) bool {
		return a == b || slices.Equal(a.endpoints, b.endpoints)
	})
}
