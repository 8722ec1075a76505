package wire

import (
	"bytes"
	"io"
	"slices"

	"github.com/rotisserie/eris"
)

// PartBytes is the most that one part of a large frame carries: 26 ms on a link of 5 Mbit/s,
// which is how long a small frame waits behind one.
const PartBytes = 16 << 10

// Split cuts a large frame into frames that carry its parts, so that others can be written in
// between; a small one is returned as it is. A Reader puts the parts together again.
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

// addPart takes a part of a large frame. It returns the message once the last one has come.
func (r *Reader) addPart(part Type, chunk []byte) (Message, error) {
	if len(r.parts)+len(chunk) > r.limits.MaxFrameBytes+maxLengthBytes {
		return nil, eris.Wrapf(ErrFrame, "parts of over %d bytes", r.limits.MaxFrameBytes)
	}
	r.parts = append(r.parts, chunk...)
	if part == TypePart {
		return nil, nil
	}
	whole := NewReader(bytes.NewReader(r.parts), r.limits)
	whole.isWhole = true
	r.parts = nil
	message, _, err := whole.Next()
	if err != nil {
		return nil, eris.Wrapf(ErrFrame, "put together: %v", err)
	}
	if _, err := whole.source.ReadByte(); err != io.EOF {
		return nil, eris.Wrap(ErrFrame, "bytes after the last part of a frame")
	}
	return message, nil
}
