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

// drawLargeUpdate returns an update with a body that compression hardly makes smaller.
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

// TestPartsAreReassembled checks that large frames sent in parts, with small frames in between,
// are received as the same messages.
func TestPartsAreReassembled(t *testing.T) {
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
					t.Fatalf("got heartbeat %d, want %d", m.Interval, nextSmall)
				}
				nextSmall++
			case *wire.Update:
				if !bytes.Equal(m.Changed[0].Body, large[nextLarge].Changed[0].Body) {
					t.Fatal("the body differs")
				}
				nextLarge++
			}
		}
		if read != sent {
			t.Fatalf("%d of %d bytes read", read, sent)
		}
	})
}

// TestInvalidParts checks that parts that do not form one frame are rejected with ErrFrame.
func TestInvalidParts(t *testing.T) {
	announce, err := wire.Encode(&wire.Announce{})
	qt.Assert(t, err, qt.IsNil)
	part := func(messageType wire.Type, body []byte) []byte {
		return append([]byte{byte(len(body) + 1), byte(messageType)}, body...)
	}
	for name, stream := range map[string][]byte{
		"not a frame":           part(wire.TypeLastPart, []byte{9, 9, 9}),
		"empty part":            part(wire.TypeLastPart, nil),
		"part within a part":    part(wire.TypeLastPart, part(wire.TypeLastPart, announce)),
		"bytes after the frame": part(wire.TypeLastPart, append(append([]byte{}, announce...), 0)),
		"truncated":             part(wire.TypeLastPart, announce[:len(announce)-1]),
		"parts above the limit": bytes.Repeat(part(wire.TypePart, make([]byte, 100)), 20),
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
