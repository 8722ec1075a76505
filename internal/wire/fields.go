package wire

import (
	"encoding/binary"
	"math"

	"github.com/hamba/avro/v2"
	"github.com/rotisserie/eris"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
)

// encoder writes fields in Avro encoding. It and decoder use the primitives of the
// library instead of its reflection over schemas: that trusts the array lengths that a
// peer declares and accepts a truncated body as complete.
type encoder struct{ *avro.Writer }

func (e encoder) long(value int64)      { e.WriteLong(value) }
func (e encoder) unsigned(value uint64) { e.WriteLong(int64(value)) }
func (e encoder) text(value string)     { e.WriteString(value) }
func (e encoder) bytes(value []byte)    { e.WriteBytes(value) }
func (e encoder) boolean(value bool)    { e.WriteBool(value) }
func (e encoder) octet(value uint8)     { e.WriteInt(int32(value)) }

func (e encoder) fixed(value []byte) { _, _ = e.Write(value) }

func (e encoder) fixed64(value uint64) {
	e.fixed(binary.BigEndian.AppendUint64(nil, value))
}

func (e encoder) version(version snapshot.Version) {
	e.unsigned(uint64(version.Revision))
	e.fixed(version.Hash[:])
}

func (e encoder) shortVersion(version ShortVersion) {
	e.unsigned(uint64(version.Revision))
	e.fixed(version.Hash[:])
}

func (e encoder) record(record membership.Record) {
	e.text(string(record.Node))
	e.unsigned(uint64(record.Incarnation))
	e.unsigned(record.Sequence)
	e.octet(uint8(record.State))
	e.text(record.Region)
	e.text(record.Zone)
	e.text(record.PeerAddress)
	e.text(record.DataAddress)
	e.text(record.Service)
	e.long(int64(record.Slots))
}

func (e encoder) observation(observation membership.Observation) {
	e.text(string(observation.Subject))
	e.unsigned(uint64(observation.Incarnation))
	e.unsigned(observation.Sequence)
	e.text(string(observation.Observer))
}

func (e encoder) listedEntry(entry ListedEntry) {
	e.text(string(entry.Node))
	e.long(entry.Order)
	encodeArray(e, entry.Members, e.listedMember)
}

// listedMember omits the node, which is encoded once in the entry.
func (e encoder) listedMember(member membership.ListedMember) {
	e.text(member.PeerAddress)
	e.text(member.Region)
	e.text(member.Zone)
	e.text(member.Service)
	e.text(string(member.State))
}

func (e encoder) key(key snapshot.Key) {
	e.octet(uint8(key.Kind))
	e.text(key.Name)
}

func (e encoder) resource(resource snapshot.Resource) {
	e.key(resource.Key)
	e.bytes(resource.Body)
}

// encodeArray writes the items as one Avro block, followed by the end-of-array marker.
func encodeArray[T any](e encoder, items []T, encodeItem func(T)) {
	if len(items) > 0 {
		e.long(int64(len(items)))
		for _, item := range items {
			encodeItem(item)
		}
	}
	e.long(0)
}

// decoder reads fields in Avro encoding. The size of the body limits all lengths that
// the body declares.
type decoder struct {
	*avro.Reader
	bodyBytes int
}

func (d decoder) fail(problem string) { d.ReportError("decode", problem) }

func (d decoder) long() int64 { return d.ReadLong() }

func (d decoder) unsigned() uint64 {
	value := d.ReadLong()
	if value < 0 {
		d.fail("negative value")
	}
	return uint64(value)
}

func (d decoder) octet() uint8 {
	value := d.ReadInt()
	if value < 0 || value > math.MaxUint8 {
		d.fail("value out of the range of 8 bits")
	}
	return uint8(value)
}

func (d decoder) boolean() bool { return d.ReadBool() }

func (d decoder) bytes() []byte {
	length := d.ReadLong()
	if length < 0 || length > int64(d.bodyBytes) {
		d.fail("length exceeds the frame")
		return nil
	}
	if length == 0 || d.Error != nil {
		return nil
	}
	value := make([]byte, length)
	d.Read(value)
	return value
}

func (d decoder) text() string { return string(d.bytes()) }

func (d decoder) fixed64() uint64 {
	var value [8]byte
	d.Read(value[:])
	return binary.BigEndian.Uint64(value[:])
}

func (d decoder) version() snapshot.Version {
	version := snapshot.Version{Revision: snapshot.Revision(d.unsigned())}
	d.Read(version.Hash[:])
	return version
}

func (d decoder) shortVersion() ShortVersion {
	version := ShortVersion{Revision: snapshot.Revision(d.unsigned())}
	d.Read(version.Hash[:])
	return version
}

func (d decoder) record() membership.Record {
	return membership.Record{
		Node:        membership.NodeID(d.text()),
		Incarnation: membership.Incarnation(d.unsigned()),
		Sequence:    d.unsigned(),
		State:       membership.State(d.octet()),
		Region:      d.text(),
		Zone:        d.text(),
		PeerAddress: d.text(),
		DataAddress: d.text(),
		Service:     d.text(),
		Slots:       int(d.long()),
	}
}

func (d decoder) observation() membership.Observation {
	return membership.Observation{
		Subject:     membership.NodeID(d.text()),
		Incarnation: membership.Incarnation(d.unsigned()),
		Sequence:    d.unsigned(),
		Observer:    membership.NodeID(d.text()),
	}
}

func (d decoder) listedEntry() ListedEntry {
	entry := ListedEntry{
		Node:    membership.NodeID(d.text()),
		Order:   d.long(),
		Members: decodeArray(d, minListedMemberBytes, d.listedMember),
	}
	for i := range entry.Members {
		entry.Members[i].Node = entry.Node
	}
	return entry
}

func (d decoder) listedMember() membership.ListedMember {
	return membership.ListedMember{
		PeerAddress: d.text(),
		Region:      d.text(),
		Zone:        d.text(),
		Service:     d.text(),
		State:       membership.ListedState(d.text()),
	}
}

func (d decoder) key() snapshot.Key {
	return snapshot.Key{Kind: snapshot.Kind(d.octet()), Name: d.text()}
}

func (d decoder) resource() snapshot.Resource {
	return snapshot.Resource{Key: d.key(), Body: d.bytes()}
}

// decodeArray reads an array of Avro blocks. It rejects arrays longer than the body can
// hold at minItemBytes per item, so that a declared length cannot make it allocate memory
// out of proportion to the frame.
func decodeArray[T any](d decoder, minItemBytes int, decodeItem func() T) []T {
	var items []T
	limit := int64(d.bodyBytes / minItemBytes)
	for {
		count := d.ReadLong()
		if count == 0 || d.Error != nil {
			return items
		}
		if count < 0 || count > limit-int64(len(items)) {
			d.fail("array length exceeds the frame")
			return nil
		}
		for range count {
			items = append(items, decodeItem())
			if d.Error != nil {
				return nil
			}
		}
	}
}

// checkEnd returns an error if decoding failed or if the body was not read to its end.
func (d decoder) checkEnd() error {
	if d.Error != nil {
		return eris.Wrap(ErrFrame, d.Error.Error())
	}
	if d.Peek(); d.Error == nil {
		return eris.Wrap(ErrFrame, "bytes after the message")
	}
	return nil
}
