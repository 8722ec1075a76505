package store

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/winchhead/winchhead/internal/wait"
)

// rateLimitChunkBytes is how many bytes a rate-limited response sends at once: about ten packets.
const rateLimitChunkBytes = 16 << 10

// minCutBytes is the size of the smallest body that the fault Cut truncates. Responses without
// items are shorter.
const minCutBytes = 1 << 10

// LimitRate limits the rate of a response body to rate bytes a second, as a slow link does; zero:
// unlimited.
func LimitRate(w http.ResponseWriter, ctx context.Context, rate int64) http.ResponseWriter {
	if rate == 0 {
		return w
	}
	return &rateLimitedWriter{ResponseWriter: w, ctx: ctx, rate: rate}
}

// rateLimitedWriter writes a body no faster than its rate in bytes a second.
type rateLimitedWriter struct {
	http.ResponseWriter
	ctx  context.Context
	rate int64
}

// Write implements io.Writer.
func (w *rateLimitedWriter) Write(body []byte) (int, error) {
	written := 0
	for chunk := range slices.Chunk(body, rateLimitChunkBytes) {
		n, err := w.ResponseWriter.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
		if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
			flusher.Flush()
		}
		pause := time.Duration(int64(len(chunk)) * int64(time.Second) / w.rate)
		if err := wait.For(w.ctx, pause); err != nil {
			return written, err
		}
	}
	return written, nil
}

// truncatingWriter closes the connection in the middle of a body of at least minCutBytes.
type truncatingWriter struct{ http.ResponseWriter }

// Write implements io.Writer.
func (w *truncatingWriter) Write(body []byte) (int, error) {
	if len(body) < minCutBytes {
		return w.ResponseWriter.Write(body)
	}
	_, _ = w.ResponseWriter.Write(body[:len(body)/2])
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
	panic(http.ErrAbortHandler)
}
