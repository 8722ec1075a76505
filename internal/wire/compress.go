package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Compressed is the flag in a frame's type that marks a body compressed with DEFLATE
// (RFC 1951).
const Compressed Type = 0x80

// minCompressBytes is the size from which bodies are compressed. Compressing smaller
// messages is not worth the CPU time.
const minCompressBytes = 1 << 10

// compressors reuses compressors, whose state is large.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return writer
}}

// compress returns the compressed body, or false if it is not shorter.
func compress(body []byte) ([]byte, bool) {
	var compressed bytes.Buffer
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(&compressed)
	if _, err := writer.Write(body); err != nil {
		return nil, false // writes to a buffer do not fail
	}
	if err := writer.Close(); err != nil || compressed.Len() >= len(body) {
		return nil, false
	}
	return compressed.Bytes(), true
}

// decompress returns the decompressed body, which may have at most limit bytes. Errors wrap
// ErrFrame.
func decompress(compressed []byte, limit int) ([]byte, error) {
	source := bytes.NewReader(compressed)
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(source), int64(limit)+1))
	switch {
	case err != nil:
		return nil, eris.Wrapf(ErrFrame, "decompress: %v", err)
	case len(body) > limit:
		return nil, eris.Wrapf(ErrFrame, "decompressed body exceeds %d bytes", limit)
	case source.Len() > 0:
		return nil, eris.Wrapf(ErrFrame, "%d bytes after the compressed body", source.Len())
	}
	return body, nil
}
