package wire

import (
	"bytes"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// PartBytes is the maximum size of a part of a large frame. A part takes 26 ms on a link of
// 5 Mbit/s, which is how long a small frame has to wait for it.
const PartBytes = 16 << 10

// Split splits a large frame into frames that carry its parts, so that other frames can be sent
// in between. It returns a small frame unchanged. A Reader reassembles the parts.
func Split(frame []byte) [][]byte {
	if len(frame) <= PartBytes {
		return [][]byte{frame}
	}
	var parts [][]byte
	for chunk := range slices.Chunk(frame, PartBytes) {
		parts = append(parts, appendFrame(TypePart, chunk))
	}
	last := len(parts) - 1
	parts[last] = appendFrame(TypeLastPart, frame[last*PartBytes:])
	return parts
}

// addPart adds a part of a large frame. It returns the message after the last part, and nil
// before.
func (r *Reader) addPart(part Type, chunk []byte) (Message, error) {
	if len(r.parts)+len(chunk) > r.limits.MaxFrameBytes+maxLengthBytes {
		return nil, eris.Wrapf(ErrFrame, "parts exceed the frame limit of %d bytes", r.limits.MaxFrameBytes)
	}
	r.parts = append(r.parts, chunk...)
	if part == TypePart {
		return nil, nil
	}
	inner := NewReader(bytes.NewReader(r.parts), r.limits)
	inner.reassembled = true
	r.parts = nil
	message, _, err := inner.Next()
	if err != nil {
		return nil, eris.Wrapf(ErrFrame, "reassemble the parts: %v", err)
	}
	if _, err := inner.source.ReadByte(); err != io.EOF {
		return nil, eris.Wrap(ErrFrame, "bytes after the last part of a frame")
	}
	return message, nil
}
