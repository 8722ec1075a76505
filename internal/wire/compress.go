package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Compressed is set in the type of a frame whose body is compressed with DEFLATE
// (RFC 1951).
const Compressed Type = 0x80

// compressFrom is the size of a body, in bytes, from which it is compressed. Small
// messages are not worth the processor time.
const compressFrom = 1 << 10

// compressors keeps the large state of compressors for the next message.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return writer
}}

// compress returns the body in compressed form, or false when that is not shorter.
func compress(body []byte) ([]byte, bool) {
	var packed bytes.Buffer
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(&packed)
	if _, err := writer.Write(body); err != nil {
		return nil, false // a buffer takes everything
	}
	if err := writer.Close(); err != nil || packed.Len() >= len(body) {
		return nil, false
	}
	return packed.Bytes(), true
}

// decompress unpacks a whole body of at most limit bytes. Errors wrap ErrFrame.
func decompress(packed []byte, limit int) ([]byte, error) {
	source := bytes.NewReader(packed)
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(source), int64(limit)+1))
	switch {
	case err != nil:
		return nil, eris.Wrapf(ErrFrame, "decompress: %v", err)
	case len(body) > limit:
		return nil, eris.Wrapf(ErrFrame, "more than %d bytes once decompressed", limit)
	case source.Len() > 0:
		return nil, eris.Wrapf(ErrFrame, "%d bytes behind the compressed body", source.Len())
	}
	return body, nil
}
