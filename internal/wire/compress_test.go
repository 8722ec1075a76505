package wire_test

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/winchhead/winchhead/internal/snapshot"
	"github.com/winchhead/winchhead/internal/wire"
)

// largeUpdate returns an update of many routes, as after a change of the whole configuration.
func largeUpdate(routes int) *wire.Update {
	update := &wire.Update{Base: 1, Target: snapshot.Version{Revision: 2, Hash: snapshot.ContentHash{1}}}
	for i := range routes {
		update.Changed = append(update.Changed, snapshot.Resource{
			Key: snapshot.Key{Kind: snapshot.KindRoute, Name: fmt.Sprint("route-", i)},
			Body: fmt.Appendf(nil, `{"name":"route-%d","host":"host-%d.example","path_prefix":"/p%d/","repeatable":true,`+
				`"timeout_ms":2000,"target_latency_ms":600,"max_attempts":2,"targets":[{"service":"booking","weight":1}]}`, i, i%30, i*7919),
		})
	}
	return update
}

// TestLargeFramesAreCompressed checks that a change of 1000 routes is compressed to less
// than a sixth of its size and decoded to the same message.
func TestLargeFramesAreCompressed(t *testing.T) {
	c := qt.New(t)
	update := largeUpdate(1000)
	plain := snapshot.Delta{Changed: update.Changed}.Size()
	frame, err := wire.Encode(update)
	c.Assert(err, qt.IsNil)
	c.Check(len(frame) < plain/6, qt.IsTrue, qt.Commentf("%d of %d bytes", len(frame), plain))
	received, size, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
	c.Assert(err, qt.IsNil)
	c.Check(size, qt.Equals, len(frame))
	c.Check(received, qt.DeepEquals, wire.Message(update))
}

func compressed(content []byte) []byte {
	var out bytes.Buffer
	writer, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = writer.Write(content)
	_ = writer.Close()
	return out.Bytes()
}

// TestMalformedCompression checks that compressed bodies are rejected if they exceed the
// limit of a frame when decompressed, or are not one complete DEFLATE stream.
func TestMalformedCompression(t *testing.T) {
	const limit = 1 << 20
	whole := compressed(make([]byte, 1000))
	for name, body := range map[string][]byte{
		"decompressed size above the limit": compressed(make([]byte, limit+1)),
		"truncated":                         whole[:len(whole)/2],
		"bytes after the compressed body":   append(bytes.Clone(whole), 1, 2, 3),
		"not compressed":                    []byte("plain bytes"),
		"empty":                             {},
	} {
		t.Run(name, func(t *testing.T) {
			frame := frameOf(wire.TypeUpdate|wire.Compressed, body)
			if len(body) > 100 {
				frame = nil
				length := len(body) + 1
				for ; length >= 0x80; length >>= 7 {
					frame = append(frame, byte(length)|0x80)
				}
				frame = append(append(frame, byte(length), byte(wire.TypeUpdate|wire.Compressed)), body...)
			}
			_, _, err := wire.NewReader(bytes.NewReader(frame), wire.Limits{MaxFrameBytes: limit}).Next()
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, wire.ErrFrame), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// BenchmarkLargeFrame measures encoding and decoding a change of 1000 routes.
func BenchmarkLargeFrame(b *testing.B) {
	update := largeUpdate(1000)
	frame, err := wire.Encode(update)
	qt.Assert(b, err, qt.IsNil)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = wire.Encode(update)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _, _ = wire.NewReader(bytes.NewReader(frame), wire.Limits{}).Next()
		}
	})
}
