// Package membership holds what a node knows about the other instances of the
// fleet: the platform's list, which lags, the records that each instance publishes
// about itself, and what neighbours observe. It merges them into one immutable
// View. It is a state machine without sockets, goroutines or a wall clock.
package membership

// NodeID is the name of an instance from its settings, unique in the fleet.
type NodeID string

// Incarnation distinguishes the processes of one NodeID: a later process has a
// higher one. A process uses its start time in Unix milliseconds and raises it
// above that of any other record of its name that it receives.
type Incarnation uint64

// State is what an instance says about its own readiness for new work.
type State uint8

// The states of an instance.
const (
	StateStarting State = 1 // not yet ready, takes no work
	StateReady    State = 2 // takes new work
	StateDraining State = 3 // finishes its work, takes no new work
	StateGone     State = 4 // ended; the record is kept as a tombstone for TombstoneLifetime
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
	// PeerAddress is where the node accepts links of other nodes (IP:port).
	PeerAddress string `json:"peer_address"`
	// DataAddress is where the node's inbound proxy accepts requests (IP:port);
	// empty for a node without a backend.
	DataAddress string `json:"data_address,omitempty"`
	// Service is the service of the node's backend, or empty.
	Service string `json:"service,omitempty"`
	// Slots is how many requests the backend runs at once.
	Slots int `json:"slots,omitempty"`
}

// Supersedes reports whether r is newer than other, a record of the same node.
func (r Record) Supersedes(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// ListedState is the state of a machine according to the platform's list.
type ListedState string

// The states of the platform's list.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedMember is one entry of the platform's membership list. The list lags: it
// may miss live nodes and still name ended ones.
type ListedMember struct {
	Node        NodeID      `json:"node"`
	PeerAddress string      `json:"peer_address"`
	Region      string      `json:"region"`
	Zone        string      `json:"zone"`
	Service     string      `json:"service,omitempty"`
	State       ListedState `json:"state"`
}

// Observation is a neighbour's report that it cannot reach a node. It applies only
// to the exact (Incarnation, Sequence) it names; the subject refutes it by
// publishing a record with a higher Sequence.
type Observation struct {
	Subject     NodeID      `json:"subject"`
	Incarnation Incarnation `json:"incarnation"`
	Sequence    uint64      `json:"sequence"`
	Observer    NodeID      `json:"observer"`
}
