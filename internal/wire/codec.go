package wire

import (
	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
)

// encodeBufferBytes is the initial buffer size; most messages fit without growing it.
const encodeBufferBytes = 128

// The minimum encoded sizes of array items, in bytes. Each field of variable size counts as
// one byte.
const (
	minRecordBytes       = 10
	minObservationBytes  = 4
	minListedEntryBytes  = 3
	minListedMemberBytes = 5
	minResourceBytes     = 3
	minKeyBytes          = 2
	digestBytes          = 8
	minCrashBytes        = 11
	minFleetChangeBytes  = minResourceBytes + 2
	crashRequestBytes    = suspects.FingerprintBytes + 2
)

// Encode returns the complete frame of a message, which may be written to any number of
// links.
func Encode(message Message) ([]byte, error) {
	e := encoder{avro.NewWriter(nil, encodeBufferBytes)}
	if !e.message(message) {
		return nil, eris.Errorf("message type %d cannot be encoded", message.Type())
	}
	if e.Error != nil {
		return nil, eris.Wrapf(e.Error, "encode message type %d", message.Type())
	}
	body := e.Buffer()
	if len(body) >= minCompressBytes {
		if compressed, shorter := compress(body); shorter {
			return appendFrame(message.Type()|Compressed, compressed), nil
		}
	}
	return appendFrame(message.Type(), body), nil
}

// Decode decodes the body of a frame. Errors wrap ErrFrame.
func Decode(messageType Type, body []byte) (Message, error) {
	reader := avro.NewReader(nil, 0)
	d := decoder{Reader: reader.Reset(body), bodyBytes: len(body)}
	message := d.message(messageType)
	if message == nil {
		return nil, eris.Wrapf(ErrFrame, "unknown message type %d", messageType)
	}
	if err := d.checkEnd(); err != nil {
		return nil, eris.Wrapf(err, "message type %d", messageType)
	}
	return message, nil
}

func (e encoder) message(message Message) bool {
	switch m := message.(type) {
	case *Hello:
		e.hello(m)
	case *Heartbeat:
		e.long(m.Interval)
		e.octet(uint8(m.Reading))
		e.long(m.SourceAge)
	case *Announce:
		e.shortVersion(m.Version)
	case *Pull:
		e.unsigned(uint64(m.Want))
		e.shortVersion(m.Held)
	case *Update:
		e.update(m)
	case *Digest:
		e.shortVersion(m.Held)
		e.fixed64(m.FleetDigest)
		e.long(m.SourceAge)
		e.octet(uint8(m.Request))
	case *Records:
		encodeArray(e, m.Records, e.record)
		encodeArray(e, m.Observations, e.observation)
		encodeArray(e, m.Listed, e.listedEntry)
	case *RecordPull:
		encodeArray(e, m.Buckets, e.fixed64)
		encodeArray(e, m.ListBuckets, e.fixed64)
		e.boolean(m.Reply)
	case *Refusal:
		e.version(m.Version)
		e.text(m.Reason)
		e.text(string(m.By))
	case *StatusRequest:
	case *StatusReply:
		e.statusReply(m)
	case *Goodbye:
		e.octet(uint8(m.Reason))
	case *ClaimRequest:
		e.claimRequest(m)
	case *ClaimReply:
		e.unsigned(m.Number)
		e.octet(uint8(m.Verdict))
		e.claimHolder(m.Holder)
		e.boolean(m.Running)
	case *Crashes:
		encodeArray(e, m.Crashes, e.crash)
	case *FleetChanges:
		encodeArray(e, m.Changes, e.fleetChange)
	case *SourceReport:
		e.sourceReport(m)
	default:
		return false
	}
	return true
}

func (e encoder) hello(m *Hello) {
	e.long(int64(m.Protocol))
	e.record(m.Self)
	e.shortVersion(m.Held)
	e.fixed64(m.FleetDigest)
	e.octet(uint8(m.Purpose))
	e.long(m.Interval)
	e.boolean(m.CoordinationLink)
}

func (e encoder) update(m *Update) {
	e.unsigned(uint64(m.Base))
	e.version(m.Target)
	encodeArray(e, m.Changed, e.resource)
	encodeArray(e, m.Removed, e.key)
	if m.Origin != nil {
		e.unsigned(m.Origin.Number)
		e.unsigned(m.Origin.Epoch)
	}
}

func (e encoder) statusReply(m *StatusReply) {
	e.text(string(m.Node))
	e.unsigned(uint64(m.Incarnation))
	e.text(m.Zone)
	e.octet(uint8(m.State))
	e.version(m.Held)
	e.unsigned(m.Generation)
	e.version(m.Refused)
	e.text(m.Reason)
	e.version(m.Conflict)
	e.boolean(m.Reader)
	e.long(m.SourceAge)
}

// message reads the fields in the order in which encoder.message writes them. Go
// evaluates the elements of a composite literal from left to right.
func (d decoder) message(messageType Type) Message {
	switch messageType {
	case TypeHello:
		return d.hello()
	case TypeHeartbeat:
		return &Heartbeat{Interval: d.long(), Reading: Reading(d.octet()), SourceAge: d.long()}
	case TypeAnnounce:
		return &Announce{Version: d.shortVersion()}
	case TypePull:
		return &Pull{Want: snapshot.Revision(d.unsigned()), Held: d.shortVersion()}
	case TypeUpdate:
		return d.update()
	case TypeUpdateWithOrigin:
		update := d.update()
		update.Origin = &snapshot.Origin{Number: d.unsigned(), Epoch: d.unsigned()}
		return update
	case TypeDigest:
		return &Digest{
			Held:        d.shortVersion(),
			FleetDigest: d.fixed64(),
			SourceAge:   d.long(),
			Request:     DigestRequest(d.octet()),
		}
	case TypeRecords:
		return &Records{
			Records:      decodeArray(d, minRecordBytes, d.record),
			Observations: decodeArray(d, minObservationBytes, d.observation),
			Listed:       decodeArray(d, minListedEntryBytes, d.listedEntry),
		}
	case TypeRecordPull:
		return &RecordPull{
			Buckets:     decodeArray(d, digestBytes, d.fixed64),
			ListBuckets: decodeArray(d, digestBytes, d.fixed64),
			Reply:       d.boolean(),
		}
	case TypeRefusal:
		return &Refusal{Version: d.version(), Reason: d.text(), By: membership.NodeID(d.text())}
	case TypeStatusRequest:
		return &StatusRequest{}
	case TypeStatusReply:
		return d.statusReply()
	case TypeGoodbye:
		return &Goodbye{Reason: GoodbyeReason(d.octet())}
	case TypeClaimRequest:
		return d.claimRequest()
	case TypeClaimReply:
		return &ClaimReply{
			Number:  d.unsigned(),
			Verdict: ClaimVerdict(d.octet()),
			Holder:  d.claimHolder(),
			Running: d.boolean(),
		}
	case TypeCrashes:
		return &Crashes{Crashes: decodeArray(d, minCrashBytes, d.crash)}
	case TypeSourceReport:
		return d.sourceReport()
	case TypeFleetChanges:
		return &FleetChanges{Changes: decodeArray(d, minFleetChangeBytes, d.fleetChange)}
	default:
		return nil
	}
}

func (d decoder) hello() *Hello {
	return &Hello{
		Protocol:         int(d.long()),
		Self:             d.record(),
		Held:             d.shortVersion(),
		FleetDigest:      d.fixed64(),
		Purpose:          Purpose(d.octet()),
		Interval:         d.long(),
		CoordinationLink: d.boolean(),
	}
}

func (d decoder) update() *Update {
	return &Update{
		Base:    snapshot.Revision(d.unsigned()),
		Target:  d.version(),
		Changed: decodeArray(d, minResourceBytes, d.resource),
		Removed: decodeArray(d, minKeyBytes, d.key),
	}
}

func (d decoder) statusReply() *StatusReply {
	return &StatusReply{
		Node:        membership.NodeID(d.text()),
		Incarnation: membership.Incarnation(d.unsigned()),
		Zone:        d.text(),
		State:       membership.State(d.octet()),
		Held:        d.version(),
		Generation:  d.unsigned(),
		Refused:     d.version(),
		Reason:      d.text(),
		Conflict:    d.version(),
		Reader:      d.boolean(),
		SourceAge:   d.long(),
	}
}
