// Package wire defines the protocol between nodes: the message types, their Avro
// schemas, the framing and its size limits. Package distribution handles the
// messages.
//
// A frame consists of the length of the rest as an unsigned varint (as in protocol
// buffers, at most 4 bytes), a 1-byte Type and the Avro encoding of the message.
// protocol.avsc contains the schemas. A large frame may be sent in parts (Split),
// with other frames in between.
package wire

import (
	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// ProtocolVersion is increased by changes after which nodes of the new build can no longer
// communicate with nodes of older builds.
const ProtocolVersion = 2

// Type identifies the message in a frame. It also labels the byte counters.
type Type uint8

// The message types.
const (
	TypeHello         Type = 1
	TypeHeartbeat     Type = 2
	TypeAnnounce      Type = 3
	TypePull          Type = 4
	TypeUpdate        Type = 5
	TypeDigest        Type = 6
	TypeRecords       Type = 7
	TypeRecordPull    Type = 8
	TypeRefusal       Type = 9
	TypeStatusRequest Type = 10
	TypeStatusReply   Type = 11
	TypeGoodbye       Type = 12
	TypeClaimRequest  Type = 13
	TypeClaimReply    Type = 14
	TypeCrashes       Type = 15
	TypeFleetChanges  Type = 16
	// TypePart and TypeLastPart carry a part of a frame instead of a message.
	TypePart     Type = 17
	TypeLastPart Type = 18
	// TypeUpdateWithOrigin is an Update with an Origin.
	TypeUpdateWithOrigin Type = 19
	TypeSourceReport     Type = 20
)

// Message is any message of the protocol.
type Message interface{ Type() Type }

// Hello is the first message in both directions of a link.
type Hello struct {
	Protocol int
	Self     membership.Record
	Held     ShortVersion
	// FleetDigest is the digest of all endpoint records that the sender has.
	FleetDigest uint64
	// Purpose is why the connection was opened.
	Purpose Purpose
	// Interval has the meaning of Heartbeat.Interval.
	Interval int64
	// CoordinationLink asks for a link between nodes that may read the source. Such links are
	// accepted even above the limit of ordinary links.
	CoordinationLink bool
}

// Purpose is why a connection was opened.
type Purpose uint8

// The purposes of a connection.
const (
	PurposeLink   Purpose = 1 // a long-lived overlay link
	PurposeStatus Purpose = 2 // one StatusRequest, then closed
	PurposeProbe  Purpose = 3 // asks which version the peer holds, may pull it, then closes
	PurposeClaim  Purpose = 4 // carries ClaimRequests and ClaimReplies only
	// PurposeLinkWithChanges is a PurposeLink whose sender accepts FleetChanges and frames in
	// parts. Builds that support neither treat it as a PurposeLink.
	PurposeLinkWithChanges Purpose = 5
	// PurposeLinkWithOrigins is a PurposeLinkWithChanges whose sender accepts the origins of
	// configurations.
	PurposeLinkWithOrigins Purpose = 6
	// PurposeLinkWithReports is a PurposeLinkWithOrigins whose sender accepts SourceReports.
	PurposeLinkWithReports Purpose = 7
)

// AcceptsChanges reports whether the sender of a Hello accepts FleetChanges and frames in parts.
func (p Purpose) AcceptsChanges() bool { return p == PurposeLinkWithChanges || p.AcceptsOrigins() }

// AcceptsOrigins reports whether the sender of a Hello accepts the origins of configurations.
func (p Purpose) AcceptsOrigins() bool { return p == PurposeLinkWithOrigins || p.AcceptsReports() }

// AcceptsReports reports whether the sender of a Hello accepts SourceReports.
func (p Purpose) AcceptsReports() bool { return p == PurposeLinkWithReports }

// Reading is whether a node reads the source.
type Reading uint8

// The states of reading.
const (
	ReadingIdle     Reading = 0 // leaves reading to other nodes
	ReadingActive   Reading = 1 // reads, and its last read succeeded
	ReadingResigned Reading = 2 // its reads fail: the node ranked next reads instead
)

// Heartbeat shows that an idle link is alive.
type Heartbeat struct {
	// Interval is the longest time, in milliseconds, between the frames that the
	// sender sends on this link from now on.
	Interval int64
	Reading  Reading
	// SourceAge has the meaning of Digest.SourceAge.
	SourceAge int64
}

// Announce announces that the sender has a new version in force.
type Announce struct{ Version ShortVersion }

// Pull asks for a revision or a later one. The answer may be a delta from Held.
type Pull struct {
	Want snapshot.Revision
	Held ShortVersion
}

// Update carries the delta from a revision that the receiver reported as held to the
// target version, or a full document if Base is zero.
type Update struct {
	Base    snapshot.Revision
	Target  snapshot.Version
	Changed []snapshot.Resource
	Removed []snapshot.Key
	// Origin is the origin of the target's configuration; nil in messages to builds that do
	// not support origins.
	Origin *snapshot.Origin
}

// NewUpdate returns the message that carries a delta. It includes the origin of the target for
// peers that accept origins.
func NewUpdate(delta snapshot.Delta, acceptsOrigins bool) *Update {
	update := &Update{
		Base:    delta.Base.Revision,
		Target:  delta.Target,
		Changed: delta.Changed,
		Removed: delta.Removed,
	}
	if acceptsOrigins {
		update.Origin = &delta.Origin
	}
	return update
}

// Delta returns the delta in the message. base is the version with the revision m.Base.
func (m *Update) Delta(base snapshot.Version) snapshot.Delta {
	delta := snapshot.Delta{Base: base, Target: m.Target, Changed: m.Changed, Removed: m.Removed}
	if m.Origin != nil {
		delta.Origin = *m.Origin
	}
	return delta
}

// shortHashBytes is the size of a ShortHash.
const shortHashBytes = 8

// ShortHash is the prefix of a snapshot.ContentHash.
type ShortHash [shortHashBytes]byte

// ShortVersion identifies a version in messages that announce or request one. The
// content that is delivered is verified against the full hash.
type ShortVersion struct {
	Revision snapshot.Revision
	Hash     ShortHash
}

// Short returns the short form of a version.
func Short(version snapshot.Version) ShortVersion {
	return ShortVersion{Revision: version.Revision, Hash: ShortHash(version.Hash[:shortHashBytes])}
}

// IsZero reports whether v identifies no version.
func (v ShortVersion) IsZero() bool { return v == ShortVersion{} }

// Newer reports whether the revision of v is higher than that of version.
func (v ShortVersion) Newer(version snapshot.Version) bool { return v.Revision > version.Revision }

// Padded returns v as a version for display, with the hash padded with zeros.
func (v ShortVersion) Padded() snapshot.Version {
	version := snapshot.Version{Revision: v.Revision}
	copy(version.Hash[:], v.Hash[:])
	return version
}

// Digest lets the receiver detect what it has missed: it compares the digest with its own
// state and pulls what differs.
type Digest struct {
	Held        ShortVersion
	FleetDigest uint64
	// SourceAge is how many milliseconds ago, as far as the sender knows, any
	// reader last confirmed the revision with the source; negative means never.
	SourceAge int64
	Request   DigestRequest
}

// DigestRequest distinguishes an unsolicited Digest from one that asks for an answer and from
// the answer.
type DigestRequest uint8

// The values of DigestRequest.
const (
	DigestPlain  DigestRequest = 0
	DigestAsk    DigestRequest = 1 // asks for a Digest in return
	DigestAnswer DigestRequest = 2
)

// Records carries endpoint records, observations and changes of the platform's list.
type Records struct {
	Records      []membership.Record
	Observations []membership.Observation
	// Listed holds the changed entries of the platform's list.
	Listed []ListedEntry
}

// ListedEntry is what a reader found about one node in the platform's list.
type ListedEntry struct {
	Node membership.NodeID
	// Order orders the entries of a node; the highest wins. It derives from the platform's
	// change counter if the platform has one.
	Order int64
	// Members holds the members of the list that name the node; empty means that it is not in
	// the list.
	Members []membership.ListedMember
}

// RecordPull carries a digest for each bucket of the sender's records. The receiver
// answers with its records in the buckets that differ.
type RecordPull struct {
	Buckets []uint64
	// ListBuckets are the digests of the buckets of platform list entries.
	ListBuckets []uint64
	// Reply asks for a RecordPull in return, so that both sides get the missing records.
	Reply bool
}

// Refusal reports that a node refused a version, and why. Versions are refused as a whole.
type Refusal struct {
	Version snapshot.Version
	Reason  string
	// By is the node that first refused the version.
	By membership.NodeID
}

// StatusRequest asks for a node's status.
type StatusRequest struct{}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Node        membership.NodeID
	Incarnation membership.Incarnation
	Zone        string
	State       membership.State
	Held        snapshot.Version
	Generation  uint64
	Refused     snapshot.Version
	Reason      string
	// Conflict is a version that has the revision of Held but different content.
	Conflict snapshot.Version
	Reader   bool
	// SourceAge has the meaning of Digest.SourceAge.
	SourceAge int64
}

// Goodbye announces that the sender closes the link on purpose, so that it is not
// reported as unreachable.
type Goodbye struct{ Reason GoodbyeReason }

// GoodbyeReason is why a link is closed on purpose.
type GoodbyeReason uint8

// The reasons of a Goodbye.
const (
	GoodbyeLeaving   GoodbyeReason = 1 // the process is stopping
	GoodbyeFull      GoodbyeReason = 2 // the sender has enough links
	GoodbyeDuplicate GoodbyeReason = 3 // the two nodes have another link
	GoodbyeUnneeded  GoodbyeReason = 4 // the sender prefers other links
	GoodbyeDone      GoodbyeReason = 5 // a probe has received its answer
	GoodbyeProtocol  GoodbyeReason = 6 // the sender speaks another protocol
)

// Type returns TypeHello.
func (*Hello) Type() Type { return TypeHello }

// Type returns TypeHeartbeat.
func (*Heartbeat) Type() Type { return TypeHeartbeat }

// Type returns TypeAnnounce.
func (*Announce) Type() Type { return TypeAnnounce }

// Type returns TypePull.
func (*Pull) Type() Type { return TypePull }

// Type returns TypeUpdateWithOrigin if the message has an Origin, otherwise TypeUpdate.
func (m *Update) Type() Type {
	if m.Origin != nil {
		return TypeUpdateWithOrigin
	}
	return TypeUpdate
}

// Type returns TypeDigest.
func (*Digest) Type() Type { return TypeDigest }

// Type returns TypeRecords.
func (*Records) Type() Type { return TypeRecords }

// Type returns TypeRecordPull.
func (*RecordPull) Type() Type { return TypeRecordPull }

// Type returns TypeRefusal.
func (*Refusal) Type() Type { return TypeRefusal }

// Type returns TypeStatusRequest.
func (*StatusRequest) Type() Type { return TypeStatusRequest }

// Type returns TypeStatusReply.
func (*StatusReply) Type() Type { return TypeStatusReply }

// Type returns TypeGoodbye.
func (*Goodbye) Type() Type { return TypeGoodbye }
