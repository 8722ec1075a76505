// Package membership owns what a node believes about the other instances of the
// fleet: the platform's lagging list, the records that each instance writes
// about itself, and what neighbours observe. It merges them into one immutable
// View. It is a state machine without sockets, goroutines or a wall clock.
package membership

// NodeID is the name of an instance from its settings, unique in the fleet.
type NodeID string

// Incarnation tells processes of one NodeID apart: a later process has a higher
// one. A process takes its start time in Unix milliseconds, and raises it above
// any record of its name that it meets.
type Incarnation uint64

// State is what an instance says about its own readiness for new work.
type State uint8

// The states of an instance.
const (
	StateStarting State = 1 // not yet ready: no work
	StateReady    State = 2 // takes new work
	StateDraining State = 3 // finishes its work, takes no new work
	StateGone     State = 4 // ended; the record is kept as a tombstone for a while
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case StateStarting:
		return "starting"
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	default:
		return "unknown"
	}
}

// Record is what an instance publishes about itself. Only its owner writes it:
// the highest (Incarnation, Sequence) wins everywhere.
type Record struct {
	Node        NodeID      `json:"node"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	State       State       `json:"state"`
	Region      string      `json:"region"`
	Zone        string      `json:"zone"`
	// PeerAddress is where the node takes links of other nodes (IP:port).
	PeerAddress string `json:"peer_address"`
	// DataAddress is where the node's inbound proxy takes requests (IP:port);
	// empty for a node without a back end.
	DataAddress string `json:"data_address,omitempty"`
	// Service is the service of the back end beside the node, or empty.
	Service string `json:"service,omitempty"`
	// Slots is how many requests the back end runs at once.
	Slots int `json:"slots,omitempty"`
}

// Supersedes reports whether r is newer than other, a record of the same node.
func (r Record) Supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// ListedState is what the platform's list says of a machine.
type ListedState string

// The states of the platform's list.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedMember is one entry of the platform's membership list. The list lags and
// may be wrong in both directions.
type ListedMember struct {
	Node        NodeID      `json:"node"`
	PeerAddress string      `json:"peer_address"`
	Region      string      `json:"region"`
	Zone        string      `json:"zone"`
	Service     string      `json:"service,omitempty"`
	State       ListedState `json:"state"`
}

// Observation is a neighbour's report that it cannot reach a node. The subject
// refutes it by publishing a record with a higher Sequence.
type Observation struct {
	Subject     NodeID      `json:"subject"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	Observer    NodeID      `json:"observer"`
}

// Endpoint is one instance of a service that may take new work.
type Endpoint struct {
	Node        NodeID
	Incarnation Incarnation
	Region      string
	Zone        string
	DataAddress string
	Slots       int
	// Suspected is set while an unrefuted observation says that the node cannot
	// be reached. It is a hint: the caller's own requests decide.
	Suspected bool
}

// View is an immutable picture of the fleet.
type View struct {
	members   []Member
	endpoints map[string][]Endpoint
	ready     map[zoneKey]int
}

type zoneKey struct{ service, zone string }

// Member is one instance as merged from all reports.
type Member struct {
	Record Record
	// Listed tells whether the platform's list names the node now.
	Listed bool
	// Leaving is set once the list or the owner says that the node is leaving.
	Leaving bool
	// Suspected is set while an observation stands unrefuted.
	Suspected bool
}

// Members returns all known instances, sorted by NodeID. The caller must not
// change the slice.
func (v *View) Members() []Member { return v.members }

// Endpoints returns the instances of a service that may take new work, sorted
// by NodeID. The caller must not change the slice.
func (v *View) Endpoints(service string) []Endpoint { return v.endpoints[service] }

// ReadyInstances counts the instances of a service that may take new work, in
// one zone, or in all zones when zone is empty.
func (v *View) ReadyInstances(service, zone string) int { return v.ready[zoneKey{service, zone}] }

// Contract of Table (table.go), the mutable merge behind View. One goroutine
// (the distribution engine) owns it; now is passed in:
//
//	func NewTable(self Record) *Table
//	func (t *Table) Self() Record
//	func (t *Table) SetSelfState(state State) (Record, bool)   // raises Sequence when it changes
//	func (t *Table) MergeRecords(records []Record, now time.Time) (news []Record)
//	    returns those that were new, for passing on; a record about self with a
//	    higher incarnation raises our own above it.
//	func (t *Table) MergeList(list []ListedMember, now time.Time) (changed bool)
//	func (t *Table) Observe(observations []Observation, now time.Time) (news []Observation)
//	    an observation about self is refuted by raising the own Sequence.
//	func (t *Table) Expire(now time.Time) (changed bool)   // tombstones, list lag
//	func (t *Table) Digest() uint64                          // order-independent, over all records
//	func (t *Table) BucketDigests() [Buckets]uint64
//	func (t *Table) RecordsIn(buckets []int) []Record
//	func (t *Table) View() *View                             // cached until something changes
