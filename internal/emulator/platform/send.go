package platform

import (
	"net/http"
	"strconv"
	"time"
)

// slowChunkBytes is the size of the chunks of FaultSlow.
const slowChunkBytes = 16

// garbage is the body of FaultGarbage.
const garbage = "\x00\xff{]this is no JSON"

// send writes a JSON body, or what the fault makes of it.
func send(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	if fault.Kind == FaultGarbage {
		body = []byte(garbage)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch fault.Kind {
	case FaultTruncated:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // net/http closes the connection before the body's end
	case FaultSlow:
		sendSlowly(w, r, fault.Pause, body)
	default:
		_, _ = w.Write(body)
	}
}

// sendSlowly writes the body in chunks until it is complete or the client has gone.
func sendSlowly(w http.ResponseWriter, r *http.Request, pause time.Duration, body []byte) {
	for len(body) > 0 {
		chunk := min(slowChunkBytes, len(body))
		if _, err := w.Write(body[:chunk]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		body = body[chunk:]
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
	}
}
