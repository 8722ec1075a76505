package wire_test

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// drawLargeUpdate has a body of a size that compression does not change much.
func drawLargeUpdate(t *rapid.T) *wire.Update {
	size := rapid.IntRange(0, 5*wire.PartBytes).Draw(t, "bytes")
	body := make([]byte, size)
	seed := rapid.Uint64().Draw(t, "seed") | 1
	for i := range body {
		seed ^= seed << 13
		seed ^= seed >> 7
		seed ^= seed << 17
		body[i] = byte(seed)
	}
	update := &wire.Update{Target: snapshot.Version{Revision: 7}, Changed: []snapshot.Resource{{Key: snapshot.Key{Kind: 1, Name: "a"}}}}
	if size > 0 {
		update.Changed[0].Body = body
	}
	return update
}

// TestPartsBecomeTheFrame: a large frame in parts, with small ones in between, brings the same
// messages.
func TestPartsBecomeTheFrame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		var large []*wire.Update
		small, sent := 0, 0
		for range rapid.IntRange(1, 3).Draw(t, "frames") {
			update := drawLargeUpdate(t)
			frame, err := wire.Encode(update)
			if err != nil {
				t.Fatal(err)
			}
			large = append(large, update)
			for _, part := range wire.Split(frame) {
				if len(part) > wire.PartBytes+8 {
					t.Fatalf("a part of %d bytes", len(part))
				}
				stream.Write(part)
				if rapid.Bool().Draw(t, "one in between") {
					heartbeat, _ := wire.Encode(&wire.Heartbeat{Interval: int64(small)})
					small++
					stream.Write(heartbeat)
				}
			}
		}
		sent = stream.Len()
		reader := wire.NewReader(&stream, wire.Limits{})
		nextLarge, nextSmall, read := 0, 0, 0
		for range len(large) + small {
			message, size, err := reader.Next()
			if err != nil {
				t.Fatal(err)
			}
			read += size
			switch m := message.(type) {
			case *wire.Heartbeat:
				if m.Interval != int64(nextSmall) {
					t.Fatalf("heartbeat %d in place of %d", m.Interval, nextSmall)
				}
				nextSmall++
			case *wire.Update:
				if !bytes.Equal(m.Changed[0].Body, large[nextLarge].Changed[0].Body) {
					t.Fatal("another body")
				}
				nextLarge++
			}
		}
		if read != sent {
			t.Fatalf("%d bytes read of %d", read, sent)
		}
	})
}

// TestWrongParts: parts that are no frame together break the protocol.
func TestWrongParts(t *testing.T) {
	announce, err := wire.Encode(&wire.Announce{})
	qt.Assert(t, err, qt.IsNil)
	part := func(kind wire.Type, body []byte) []byte {
		return append([]byte{byte(len(body) + 1), byte(kind)}, body...)
	}
	for name, stream := range map[string][]byte{
		"no frame":             part(wire.TypeLastPart, []byte{9, 9, 9}),
		"nothing":              part(wire.TypeLastPart, nil),
		"part of a part":       part(wire.TypeLastPart, part(wire.TypeLastPart, announce)),
		"bytes behind":         part(wire.TypeLastPart, append(append([]byte{}, announce...), 0)),
		"cut":                  part(wire.TypeLastPart, announce[:len(announce)-1]),
		"more than is allowed": bytes.Repeat(part(wire.TypePart, make([]byte, 100)), 20),
	} {
		t.Run(name, func(t *testing.T) {
			reader := wire.NewReader(bytes.NewReader(stream), wire.Limits{MaxFrameBytes: 1 << 10})
			_, _, err := reader.Next()
			qt.Check(t, errors.Is(err, wire.ErrFrame), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
	whole := append(part(wire.TypePart, announce[:3]), part(wire.TypeLastPart, announce[3:])...)
	message, size, err := wire.NewReader(bytes.NewReader(whole), wire.Limits{}).Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, message, qt.DeepEquals, wire.Message(&wire.Announce{}))
	qt.Check(t, size, qt.Equals, len(whole))
}
