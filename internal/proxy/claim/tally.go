package claim

import "github.com/winchhead/winchhead/internal/wire"

// result is the result of a claim.
type result uint8

const (
	pending  result = iota
	won             // the request may run
	taken           // another holder may have run the request
	conflict        // another holder has the key, for another request
	noQuorum        // too few replicas granted the key, and no other holder is known
)

// String returns the result as a metric label.
func (r result) String() string {
	return [...]string{pending: "pending", won: "won", taken: "taken", conflict: "conflict", noQuorum: "no-quorum"}[r]
}

// tally counts the replies to one claim; it has no clock. A claim is won with the last
// grant that it needs, but lost only once all replicas have replied, as the last reply
// may reveal another holder.
type tally struct {
	needed    int
	awaited   int
	granted   int
	conflicts int
	running   bool      // another holder's request may still run
	takenAt   []address // replicas where another holder has the key
}

func newTally(set replicaSet) *tally { return &tally{needed: set.needed, awaited: len(set.replicas)} }

// recordReply counts the reply of a replica; nil if there was none.
func (t *tally) recordReply(from address, reply *wire.ClaimReply) {
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

// result returns the result so far. It does not change once it is not pending.
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
