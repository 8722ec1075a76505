package wire

import (
	"crypto/sha256"

	"github.com/winchhead/winchhead/internal/membership"
)

// ClaimKey names an Idempotency-Key on a route: a hash, so that its size is fixed
// and the key itself stays with the node that got it.
type ClaimKey [sha256.Size]byte

// ClaimFingerprint tells requests with one key apart.
type ClaimFingerprint [sha256.Size]byte

// ClaimHolder names one request to one process. Number is never used twice by a
// process.
type ClaimHolder struct {
	Node        membership.NodeID
	Incarnation membership.Incarnation
	Number      uint64
}

// ClaimAction is what a ClaimRequest asks for.
type ClaimAction uint8

// The actions.
const (
	ClaimActionClaim   ClaimAction = 1 // grant the key to Holder
	ClaimActionRelease ClaimAction = 2 // Holder did not run: free the key
	ClaimActionQuery   ClaimAction = 3 // tell who holds the key, change nothing
)

// ClaimRequest asks a replica about a key. Requests on one connection are handled
// in their order.
type ClaimRequest struct {
	// Number joins a reply to its request on one connection.
	Number      uint64
	Action      ClaimAction
	Key         ClaimKey
	Fingerprint ClaimFingerprint
	Holder      ClaimHolder
	// RunsFor is the time left for the request, in milliseconds.
	RunsFor int64
	// Hold is how long the grant lasts, in milliseconds; it is above RunsFor.
	Hold int64
}

// ClaimVerdict is a replica's answer.
type ClaimVerdict uint8

// The verdicts.
const (
	ClaimGranted  ClaimVerdict = 1 // Holder of the request holds the key
	ClaimTaken    ClaimVerdict = 2 // another holder has it: ClaimReply.Holder
	ClaimConflict ClaimVerdict = 3 // another holder has it for another request
	ClaimFull     ClaimVerdict = 4 // the replica can remember no more
	ClaimFree     ClaimVerdict = 5 // nobody holds the key, or not any more
	ClaimReleased ClaimVerdict = 6 // the claim came after its own release
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Number  uint64
	Verdict ClaimVerdict
	// Holder has the key, with ClaimTaken and ClaimConflict.
	Holder ClaimHolder
	// Running tells that the time of the holder's request is not over yet.
	Running bool
}

// Type returns TypeClaimRequest.
func (*ClaimRequest) Type() Type { return TypeClaimRequest }

// Type returns TypeClaimReply.
func (*ClaimReply) Type() Type { return TypeClaimReply }

func (e encoder) claimHolder(holder ClaimHolder) {
	e.text(string(holder.Node))
	e.unsigned(uint64(holder.Incarnation))
	e.unsigned(holder.Number)
}

func (e encoder) claimRequest(m *ClaimRequest) {
	e.unsigned(m.Number)
	e.small(uint8(m.Action))
	e.fixed(m.Key[:])
	e.fixed(m.Fingerprint[:])
	e.claimHolder(m.Holder)
	e.long(m.RunsFor)
	e.long(m.Hold)
}

func (d decoder) claimHolder() ClaimHolder {
	return ClaimHolder{
		Node:        membership.NodeID(d.text()),
		Incarnation: membership.Incarnation(d.unsigned()),
		Number:      d.unsigned(),
	}
}

func (d decoder) claimRequest() *ClaimRequest {
	m := &ClaimRequest{Number: d.unsigned(), Action: ClaimAction(d.small())}
	d.Read(m.Key[:])
	d.Read(m.Fingerprint[:])
	m.Holder = d.claimHolder()
	m.RunsFor = d.long()
	m.Hold = d.long()
	return m
}
