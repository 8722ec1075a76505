package wire_test

import (
	"bytes"
	"errors"
	"io"
	"math"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hamba/avro/v2"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/membership"
	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/suspects"
	"github.com/winchhead/winchhead/internal/wire"
)

// headerBytes is the size of the length and the type of a frame below 128 bytes.
const headerBytes = 2

// messages generates messages of all types. Empty slices are nil, as Decode returns them.
func messages() *rapid.Generator[wire.Message] {
	number := rapid.Uint64Range(0, math.MaxInt64)
	version := rapid.Custom(func(t *rapid.T) snapshot.Version {
		hash := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "hash")
		return snapshot.Version{Revision: snapshot.Revision(number.Draw(t, "revision")), Hash: [16]byte(hash)}
	})
	short := rapid.Map(version, wire.Short)
	var (
		node        = rapid.Make[membership.NodeID]()
		positive    = rapid.Int64Range(0, math.MaxInt64)
		octet       = rapid.Byte()
		body        = rapid.SliceOfN(rapid.Byte(), 1, 40)
		anyNumber   = rapid.Int64()
		text        = rapid.String()
		fixed64s    = sliceOrNil(rapid.Uint64())
		incarnation = rapid.Custom(func(t *rapid.T) membership.Incarnation {
			return membership.Incarnation(number.Draw(t, "incarnation"))
		})
	)
	record := rapid.Custom(func(t *rapid.T) membership.Record {
		return membership.Record{
			Node: node.Draw(t, "node"), Incarnation: incarnation.Draw(t, "i"), Sequence: number.Draw(t, "s"),
			State: membership.State(octet.Draw(t, "state")), Region: text.Draw(t, "region"), Zone: text.Draw(t, "zone"),
			PeerAddress: text.Draw(t, "peer"), DataAddress: text.Draw(t, "data"), Service: text.Draw(t, "service"),
			Slots: int(anyNumber.Draw(t, "slots")),
		}
	})
	observation := rapid.Custom(func(t *rapid.T) membership.Observation {
		return membership.Observation{Subject: node.Draw(t, "subject"), Incarnation: incarnation.Draw(t, "i"),
			Sequence: number.Draw(t, "s"), Observer: node.Draw(t, "observer")}
	})
	key := rapid.Custom(func(t *rapid.T) snapshot.Key {
		return snapshot.Key{Kind: snapshot.Kind(octet.Draw(t, "kind")), Name: text.Draw(t, "name")}
	})
	resource := rapid.Custom(func(t *rapid.T) snapshot.Resource {
		return snapshot.Resource{Key: key.Draw(t, "key"), Body: body.Draw(t, "body")}
	})
	holder := rapid.Custom(func(t *rapid.T) wire.ClaimHolder {
		return wire.ClaimHolder{Node: node.Draw(t, "node"), Incarnation: incarnation.Draw(t, "i"), Number: number.Draw(t, "claim")}
	})
	return rapid.Custom(func(t *rapid.T) wire.Message {
		switch wire.Type(rapid.IntRange(1, int(wire.TypeSourceReport)).Draw(t, "type")) {
		case wire.TypeHello:
			return &wire.Hello{Protocol: int(positive.Draw(t, "p")), Self: record.Draw(t, "self"),
				Held: short.Draw(t, "held"), FleetDigest: rapid.Uint64().Draw(t, "digest"),
				Purpose: wire.Purpose(octet.Draw(t, "purpose")), Interval: anyNumber.Draw(t, "interval"),
				CoordinationLink: rapid.Bool().Draw(t, "group")}
		case wire.TypeHeartbeat:
			return &wire.Heartbeat{Interval: anyNumber.Draw(t, "interval"),
				Reading: wire.Reading(octet.Draw(t, "reading")), SourceAge: anyNumber.Draw(t, "age")}
		case wire.TypeAnnounce:
			return &wire.Announce{Version: short.Draw(t, "version")}
		case wire.TypePull:
			return &wire.Pull{Want: version.Draw(t, "want").Revision, Held: short.Draw(t, "held")}
		case wire.TypeUpdate:
			return &wire.Update{Base: version.Draw(t, "base").Revision, Target: version.Draw(t, "target"),
				Changed: sliceOrNil(resource).Draw(t, "changed"), Removed: sliceOrNil(key).Draw(t, "removed")}
		case wire.TypeUpdateWithOrigin:
			return &wire.Update{Base: version.Draw(t, "base").Revision, Target: version.Draw(t, "target"),
				Changed: sliceOrNil(resource).Draw(t, "changed"), Removed: sliceOrNil(key).Draw(t, "removed"),
				Origin: &snapshot.Origin{Number: number.Draw(t, "number"), Epoch: number.Draw(t, "epoch")}}
		case wire.TypeDigest:
			return &wire.Digest{Held: short.Draw(t, "held"), FleetDigest: rapid.Uint64().Draw(t, "digest"),
				SourceAge: anyNumber.Draw(t, "age"), Request: wire.DigestRequest(octet.Draw(t, "request"))}
		case wire.TypeRecords:
			listed := rapid.Custom(func(t *rapid.T) wire.ListedEntry {
				entry := wire.ListedEntry{Node: node.Draw(t, "node"), Order: anyNumber.Draw(t, "at")}
				for range rapid.IntRange(0, 2).Draw(t, "members") {
					entry.Members = append(entry.Members, membership.ListedMember{Node: entry.Node,
						PeerAddress: text.Draw(t, "peer"), Region: text.Draw(t, "region"), Zone: text.Draw(t, "zone"),
						Service: text.Draw(t, "service"), State: membership.ListedState(text.Draw(t, "state"))})
				}
				return entry
			})
			return &wire.Records{Records: sliceOrNil(record).Draw(t, "records"),
				Observations: sliceOrNil(observation).Draw(t, "observations"), Listed: sliceOrNil(listed).Draw(t, "listed")}
		case wire.TypeRecordPull:
			return &wire.RecordPull{Buckets: fixed64s.Draw(t, "buckets"), ListBuckets: fixed64s.Draw(t, "list"),
				Reply: rapid.Bool().Draw(t, "reply")}
		case wire.TypeRefusal:
			return &wire.Refusal{Version: version.Draw(t, "version"), Reason: text.Draw(t, "reason"), By: node.Draw(t, "by")}
		case wire.TypeStatusReply:
			return &wire.StatusReply{Node: node.Draw(t, "node"), Incarnation: incarnation.Draw(t, "i"),
				Zone: text.Draw(t, "zone"), State: membership.State(octet.Draw(t, "state")), Held: version.Draw(t, "held"),
				Generation: number.Draw(t, "generation"), Refused: version.Draw(t, "refused"),
				Reason: text.Draw(t, "reason"), Conflict: version.Draw(t, "conflict"),
				Reader: rapid.Bool().Draw(t, "reader"), SourceAge: anyNumber.Draw(t, "age")}
		case wire.TypeGoodbye:
			return &wire.Goodbye{Reason: wire.GoodbyeReason(octet.Draw(t, "reason"))}
		case wire.TypeClaimRequest:
			hash := rapid.SliceOfN(rapid.Byte(), 32, 32)
			return &wire.ClaimRequest{Number: number.Draw(t, "number"), Action: wire.ClaimAction(octet.Draw(t, "action")),
				Key: [32]byte(hash.Draw(t, "key")), Fingerprint: [32]byte(hash.Draw(t, "fingerprint")),
				Holder: holder.Draw(t, "holder"), RemainingMillis: anyNumber.Draw(t, "runs"), GrantMillis: anyNumber.Draw(t, "hold")}
		case wire.TypeClaimReply:
			return &wire.ClaimReply{Number: number.Draw(t, "number"), Verdict: wire.ClaimVerdict(octet.Draw(t, "verdict")),
				Holder: holder.Draw(t, "holder"), Running: rapid.Bool().Draw(t, "running")}
		case wire.TypeCrashes:
			request := rapid.Custom(func(t *rapid.T) suspects.Request {
				return suspects.Request{Fingerprint: suspects.Fingerprint(rapid.SliceOfN(rapid.Byte(), suspects.FingerprintBytes, suspects.FingerprintBytes).Draw(t, "fingerprint")),
					Probed: rapid.Bool().Draw(t, "probed"), Cleared: rapid.Bool().Draw(t, "cleared")}
			})
			crash := rapid.Custom(func(t *rapid.T) wire.Crash {
				return wire.Crash{ID: suspects.CrashID(number.Draw(t, "id")), Instance: text.Draw(t, "instance"),
					Age: anyNumber.Draw(t, "age"), Requests: sliceOrNil(request).Draw(t, "requests")}
			})
			return &wire.Crashes{Crashes: sliceOrNil(crash).Draw(t, "crashes")}
		case wire.TypeSourceReport:
			return &wire.SourceReport{Reader: rapid.Uint64().Draw(t, "reader"), Sequence: number.Draw(t, "sequence"),
				StandsIn: rapid.Bool().Draw(t, "stands in"), Failed: rapid.Bool().Draw(t, "failed"),
				Revision: version.Draw(t, "revision").Revision, Age: anyNumber.Draw(t, "age"), SentAt: anyNumber.Draw(t, "sent")}
		case wire.TypeFleetChanges:
			change := rapid.Custom(func(t *rapid.T) wire.FleetChange {
				return wire.FleetChange{Revision: version.Draw(t, "at").Revision, Resource: resource.Draw(t, "resource"), Age: anyNumber.Draw(t, "age")}
			})
			return &wire.FleetChanges{Changes: sliceOrNil(change).Draw(t, "changes")}
		default:
			return &wire.StatusRequest{}
		}
	})
}

func sliceOrNil[T any](item *rapid.Generator[T]) *rapid.Generator[[]T] {
	return rapid.Custom(func(t *rapid.T) []T {
		return append([]T(nil), rapid.SliceOfN(item, 0, 4).Draw(t, "items")...)
	})
}

func TestEncodeAndReadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(messages(), 1, 4).Draw(t, "messages")
		var stream bytes.Buffer
		for _, message := range sent {
			frame, err := wire.Encode(message)
			check(t, err, qt.IsNil)
			stream.Write(frame)
		}
		total := stream.Len()
		reader := wire.NewReader(&stream, wire.Limits{})
		for _, message := range sent {
			received, frameBytes, err := reader.Next()
			check(t, err, qt.IsNil)
			check(t, received, qt.DeepEquals, message)
			total -= frameBytes
		}
		check(t, total, qt.Equals, 0)
		_, _, err := reader.Next()
		check(t, err, qt.Equals, io.EOF)
	})
}

// TestEncodingMatchesSchemas checks that protocol.avsc describes the encoding: the Avro
// library decodes each body by its schema and must encode it to the same bytes.
func TestEncodingMatchesSchemas(t *testing.T) {
	text, err := os.ReadFile("protocol.avsc")
	qt.Assert(t, err, qt.IsNil)
	cache := &avro.SchemaCache{}
	_, err = avro.ParseBytesWithCache(text, "", cache)
	qt.Assert(t, err, qt.IsNil)
	api := avro.Config{DisableBlockSizeHeader: true}.Freeze()
	rapid.Check(t, func(t *rapid.T) {
		message := messages().Draw(t, "message")
		frame, err := wire.Encode(message)
		check(t, err, qt.IsNil)
		body := bodyOf(frame)
		schema := cache.Get("Message" + strconv.Itoa(int(message.Type())))
		check(t, schema, qt.IsNotNil)
		var generic map[string]any
		check(t, api.Unmarshal(schema, body, &generic), qt.IsNil)
		again, err := api.Marshal(schema, generic)
		check(t, err, qt.IsNil)
		check(t, again, qt.DeepEquals, body)
	})
}

// check is qt.Assert for a rapid.T, which is not a testing.TB.
func check(t *rapid.T, got any, checker qt.Checker, args ...any) {
	if err := checker.Check(got, args, func(string, any) {}); err != nil {
		t.Fatalf("%v: got %#v, want %v", err, got, args)
	}
}

func bodyOf(frame []byte) []byte {
	for i, b := range frame {
		if b < 0x80 {
			return append([]byte{}, frame[i+2:]...)
		}
	}
	return nil
}

// long returns the Avro encoding of a long.
func long(value int64) []byte {
	writer := avro.NewWriter(nil, 16)
	writer.WriteLong(value)
	return append([]byte{}, writer.Buffer()...)
}

func frameOf(messageType wire.Type, parts ...[]byte) []byte {
	body := bytes.Join(parts, nil)
	return append([]byte{byte(len(body) + 1), byte(messageType)}, body...)
}

func TestMalformedFrames(t *testing.T) {
	version, short := make([]byte, 17), make([]byte, 9)
	cases := []struct {
		name      string
		frame     []byte
		truncated bool // the connection ended, which is not ErrFrame
	}{
		{name: "empty frame", frame: []byte{0}},
		{name: "length without an end", frame: []byte{0xff, 0xff, 0xff, 0xff, 0xff}},
		{name: "length above the limit", frame: []byte{0xff, 0xff, 0x7f, 1}},
		{name: "truncated length", frame: []byte{0x80}, truncated: true},
		{name: "truncated body", frame: []byte{9, byte(wire.TypeRefusal), 2}, truncated: true},
		{name: "truncated long body", frame: []byte{0xa0, 0x8d, 0x06, byte(wire.TypeUpdate), 2}, truncated: true},
		{name: "unknown type", frame: []byte{1, 99}},
		{name: "type 0", frame: []byte{1, 0}},
		{name: "body too short", frame: frameOf(wire.TypeAnnounce, short[:5])},
		{name: "bytes after the message", frame: frameOf(wire.TypeAnnounce, short, []byte{0})},
		{name: "negative revision", frame: frameOf(wire.TypeAnnounce, long(-2), short[1:])},
		{name: "number with too many bytes", frame: frameOf(wire.TypeAnnounce, bytes.Repeat([]byte{0xff}, 12), version)},
		{name: "string longer than the frame", frame: frameOf(wire.TypeRefusal, version, long(1<<40))},
		{name: "string of negative length", frame: frameOf(wire.TypeRefusal, version, long(-1))},
		{name: "array longer than the frame", frame: frameOf(wire.TypeRecordPull, long(1<<50))},
		{name: "array length overflows", frame: frameOf(wire.TypeRecordPull, long(math.MinInt64), long(0))},
		{name: "array of two blocks longer than the frame", frame: frameOf(wire.TypeUpdate, long(0), version,
			long(1), make([]byte, 3), long(math.MaxInt64))},
		{name: "boolean with the value 2", frame: frameOf(wire.TypeRecordPull, long(0), long(0), []byte{2})},
		{name: "state out of range", frame: frameOf(wire.TypeHeartbeat, long(1), long(256), long(1))},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			reader := wire.NewReader(bytes.NewReader(test.frame), wire.Limits{MaxFrameBytes: 1 << 20})
			_, _, err := reader.Next()
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, wire.ErrFrame), qt.Equals, !test.truncated, qt.Commentf("%v", err))
		})
	}
}

func TestHeartbeatIsSmall(t *testing.T) {
	heartbeat, err := wire.Encode(&wire.Heartbeat{Interval: 5000, SourceAge: 2000})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(heartbeat) <= headerBytes+5, qt.IsTrue)
}

func FuzzDecode(f *testing.F) {
	seeds := []wire.Message{
		&wire.Hello{Self: membership.Record{Node: "a", Zone: "z"}}, &wire.Heartbeat{Interval: 700},
		&wire.Announce{}, &wire.Pull{}, &wire.Digest{SourceAge: -1}, &wire.Refusal{Reason: "r"},
		&wire.Update{Changed: []snapshot.Resource{{Key: snapshot.Key{Kind: 1, Name: "s"}, Body: []byte("{}")}}},
		&wire.Records{Records: []membership.Record{{Node: "a"}}, Observations: []membership.Observation{{Subject: "b"}},
			Listed: []wire.ListedEntry{{Order: 5}}},
		&wire.RecordPull{Buckets: []uint64{1, 2}}, &wire.StatusRequest{}, &wire.StatusReply{Node: "a"}, &wire.Goodbye{},
		&wire.ClaimRequest{Holder: wire.ClaimHolder{Node: "a", Number: 2}, GrantMillis: 1000}, &wire.ClaimReply{Holder: wire.ClaimHolder{Node: "b"}},
		&wire.SourceReport{Reader: 1, Sequence: 2, Revision: 7, Age: 3, SentAt: 4},
		&wire.Crashes{Crashes: []wire.Crash{{ID: 1, Instance: "i", Age: 5, Requests: []suspects.Request{{Probed: true}}}}},
		&wire.FleetChanges{Changes: []wire.FleetChange{{Revision: 7, Resource: snapshot.Resource{Key: snapshot.Key{Kind: 5, Name: "i"}}, Age: 3}}},
	}
	for _, message := range seeds {
		frame, err := wire.Encode(message)
		qt.Assert(f, err, qt.IsNil)
		f.Add(uint8(message.Type()), bodyOf(frame))
	}
	f.Fuzz(func(t *testing.T, messageType uint8, body []byte) {
		message, err := wire.Decode(wire.Type(messageType), body)
		if err != nil {
			qt.Assert(t, errors.Is(err, wire.ErrFrame), qt.IsTrue)
			return
		}
		frame, err := wire.Encode(message)
		qt.Assert(t, err, qt.IsNil)
		again, _, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, message)
	})
}
