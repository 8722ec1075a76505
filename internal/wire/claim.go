package wire

import (
	"crypto/sha256"

	"github.com/winchhead/winchhead/internal/membership"
)

// ClaimKey identifies an Idempotency-Key on a route. It is a hash, so that its size
// is fixed and the key itself never leaves the node that received it.
type ClaimKey [sha256.Size]byte

// ClaimFingerprint distinguishes different requests that use the same key.
type ClaimFingerprint [sha256.Size]byte

// ClaimHolder identifies one request to one process. A process never uses a Number
// twice.
type ClaimHolder struct {
	Node        membership.NodeID
	Incarnation membership.Incarnation
	Number      uint64
}

// ClaimAction is the operation that a ClaimRequest asks for.
type ClaimAction uint8

// The actions of a ClaimRequest.
const (
	ClaimActionClaim   ClaimAction = 1 // grant the key to Holder
	ClaimActionRelease ClaimAction = 2 // Holder was not executed: free the key
	ClaimActionQuery   ClaimAction = 3 // report who holds the key, change nothing
)

// ClaimRequest asks a replica to grant, free or look up a key. A replica handles
// the requests of a connection in their order.
type ClaimRequest struct {
	// Number matches a reply with its request on the same connection.
	Number      uint64
	Action      ClaimAction
	Key         ClaimKey
	Fingerprint ClaimFingerprint
	Holder      ClaimHolder
	// RemainingMillis is the remaining time of the request, in milliseconds.
	RemainingMillis int64
	// GrantMillis is how long the grant lasts, in milliseconds; it is longer than RemainingMillis.
	GrantMillis int64
}

// ClaimVerdict is the result in a replica's reply.
type ClaimVerdict uint8

// The verdicts of a ClaimReply.
const (
	ClaimGranted  ClaimVerdict = 1 // the request's Holder holds the key
	ClaimTaken    ClaimVerdict = 2 // another holder has the key: ClaimReply.Holder
	ClaimConflict ClaimVerdict = 3 // another holder has the key for a different request
	ClaimFull     ClaimVerdict = 4 // the replica cannot store more keys
	ClaimFree     ClaimVerdict = 5 // nobody holds the key, or no longer holds it
	ClaimReleased ClaimVerdict = 6 // the request's Holder has already released the key
)

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Number  uint64
	Verdict ClaimVerdict
	// Holder is the current holder; set with ClaimTaken and ClaimConflict.
	Holder ClaimHolder
	// Running is set while the holder's request still has time left.
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
	e.octet(uint8(m.Action))
	e.fixed(m.Key[:])
	e.fixed(m.Fingerprint[:])
	e.claimHolder(m.Holder)
	e.long(m.RemainingMillis)
	e.long(m.GrantMillis)
}

func (d decoder) claimHolder() ClaimHolder {
	return ClaimHolder{
		Node:        membership.NodeID(d.text()),
		Incarnation: membership.Incarnation(d.unsigned()),
		Number:      d.unsigned(),
	}
}

func (d decoder) claimRequest() *ClaimRequest {
	m := &ClaimRequest{Number: d.unsigned(), Action: ClaimAction(d.octet())}
	d.Read(m.Key[:])
	d.Read(m.Fingerprint[:])
	m.Holder = d.claimHolder()
	m.RemainingMillis = d.long()
	m.GrantMillis = d.long()
	return m
}
