package claim

import "github.com/winchhead/winchhead/internal/wire"

// result is what became of a claim.
type result uint8

const (
	pending  result = iota
	won             // the request may run
	taken           // another holder may have run the request
	conflict        // another holder has the key, for another request
	noQuorum        // too few replicas granted the key, and no other holder is seen
)

// String returns the result for metrics.
func (r result) String() string {
	return [...]string{pending: "pending", won: "won", taken: "taken", conflict: "conflict", noQuorum: "no-quorum"}[r]
}

// tally counts the answers to one claim: a state machine without clock. A claim
// wins with the last grant it needs, but is lost only once all have answered, as
// the last answer may tell of another holder.
type tally struct {
	needed    int
	awaited   int
	granted   int
	conflicts int
	running   bool      // a holder's request still has time
	takenAt   []address // replicas where another holder has the key
}

func newTally(set replicaSet) *tally { return &tally{needed: set.needed, awaited: len(set.replicas)} }

// answered counts the answer of a replica; nil: none came.
func (t *tally) answered(from address, reply *wire.ClaimReply) {
	t.awaited--
	if reply == nil {
		return
	}
	t.running = t.running || reply.Running
	switch reply.Verdict {
	case wire.ClaimGranted:
		t.granted++
	case wire.ClaimTaken:
		t.takenAt = append(t.takenAt, from)
	case wire.ClaimConflict:
		t.conflicts++
	}
}

// result tells how the claim stands. It doesn't change after pending.
func (t *tally) result() result {
	switch {
	case t.granted >= t.needed:
		return won
	case t.awaited > 0:
		return pending
	case len(t.takenAt) > 0:
		return taken
	case t.conflicts > 0:
		return conflict
	default:
		return noQuorum
	}
}
